package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/standin/fleet"
)

const startTimeout = 20 * time.Second

var binaries string

var _ = BeforeSuite(func() {
	binaries = GinkgoT().TempDir()
	build := exec.Command("go", "build", "-o", binaries+string(filepath.Separator), "../../cmd/...")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// cluster is a running fleet of processes.
type cluster struct {
	layout    *fleet.Layout
	processes map[string]*exec.Cmd
	logs      map[string]*os.File
}

// network returns a loopback network that no other test process uses now.
func network() int {
	for i := range 200 {
		n := 30 + (os.Getpid()+i)%200
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7000", n))
		if err == nil {
			Expect(listener.Close()).To(Succeed())
			return n
		}
	}
	Fail("every loopback network is in use")
	return 0
}

func startCluster(p fleet.Params) *cluster {
	c := &cluster{
		layout:    fleet.New(GinkgoT().TempDir(), p),
		processes: make(map[string]*exec.Cmd),
		logs:      make(map[string]*os.File),
	}
	Expect(c.layout.Write()).To(Succeed())
	DeferCleanup(c.stop)
	for _, command := range c.layout.Commands() {
		c.start(command)
	}
	c.declare(c.layout.Document)
	for n := range c.layout.Instances {
		Eventually(func() int { return c.readiness(n) }, startTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
	}
	return c
}

func (c *cluster) start(command fleet.Command) {
	log, err := os.Create(filepath.Join(c.layout.Dir, command.Name+".log"))
	Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(filepath.Join(binaries, command.Program), command.Args...)
	cmd.Stdout, cmd.Stderr = log, log
	Expect(cmd.Start()).To(Succeed())
	c.processes[command.Name] = cmd
	c.logs[command.Name] = log
}

func (c *cluster) stop() {
	for _, cmd := range c.processes {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for name, log := range c.logs {
		_ = log.Close()
		if CurrentSpecReport().Failed() {
			data, _ := os.ReadFile(log.Name())
			GinkgoWriter.Printf("--- %s\n%s\n", name, data)
		}
	}
}

// terminate sends SIGTERM and returns the exit code.
func (c *cluster) terminate(name string) int {
	cmd := c.processes[name]
	Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

func (c *cluster) log(name string) string {
	data, err := os.ReadFile(c.logs[name].Name())
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func (c *cluster) callers(n int) string {
	return "http://" + c.layout.Instances[n].Settings.Listen.Callers
}

func (c *cluster) operators(n int) string {
	return "http://" + c.layout.Instances[n].Settings.Listen.Operators
}

func (c *cluster) readiness(n int) int {
	response, err := http.Get(c.callers(n) + "/readyz")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// declare puts a document in force by a trial and its promotion.
func (c *cluster) declare(document environment.Document) {
	var trial operator.TrialAnswer
	Eventually(func() (int, error) {
		status, answer, err := c.operate(http.MethodPost, "/operator/v1/trials", document)
		_ = json.Unmarshal(answer, &trial)
		return status, err
	}, startTimeout, 50*time.Millisecond).Should(Equal(http.StatusCreated))
	status, answer, err := c.operate(http.MethodPost, "/operator/v1/trials/"+trial.ID+"/promotion", nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK), string(answer))
}

func (c *cluster) operate(method, path string, body any) (int, []byte, error) {
	return c.exchange(method, c.operators(0)+path, body)
}

// send is exchange for calls that must get an answer.
func (c *cluster) send(method, url string, body any) (int, string) {
	status, answer, err := c.exchange(method, url, body)
	Expect(err).NotTo(HaveOccurred())
	return status, string(answer)
}

// exchange sends a body in JSON as an operator.
func (c *cluster) exchange(method, url string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.OperatorToken)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func (c *cluster) createKey(account string) operator.NewKeyAnswer {
	status, answer, err := c.operate(http.MethodPost, "/operator/v1/keys", operator.NewKeyRequest{Account: account})
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusCreated), string(answer))
	var key operator.NewKeyAnswer
	Expect(json.Unmarshal(answer, &key)).To(Succeed())
	return key
}

// call sends a request of a caller and returns the whole answer.
func (c *cluster) call(n int, key, method, path, body string) (int, string) {
	response, err := c.open(n, key, method, path, body)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(answer)
}

func (c *cluster) open(n int, key, method, path, body string) (*http.Response, error) {
	request, err := http.NewRequest(method, c.callers(n)+path, bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return http.DefaultClient.Do(request)
}

// witness reads a stand-in's own account.
func witness[T any](address, path string) T {
	var out T
	response, err := http.Get("http://" + address + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(json.NewDecoder(response.Body).Decode(&out)).To(Succeed())
	return out
}

func chat(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"sort the cells"}]}`, model, tokens, stream)
}
