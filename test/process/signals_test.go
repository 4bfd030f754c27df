package process_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/gateway"
)

var _ = Describe("A gateway that stops", func() {
	var command *exec.Cmd
	var output bytes.Buffer
	var ended chan error

	address := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		return l.Addr().String()
	}

	BeforeEach(func() {
		s := gateway.DefaultSettings()
		s.Name, s.Zone, s.Store = "i1", "z1", address()
		s.Listen = gateway.ListenSettings{Callers: address(), Ready: address(), Mesh: address()}
		s.Drain.GraceSeconds = 3
		data, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
		output.Reset()
		command = exec.Command(filepath.Join(binaries, "dotterellinkd"), "--gateway", "--settings", path)
		command.Stdout, command.Stderr = &output, &output
		Expect(command.Start()).To(Succeed())
		ended = make(chan error, 1)
		go func() { ended <- command.Wait() }()
		DeferCleanup(func() { _ = command.Process.Kill() })
		Eventually(func() error {
			answer, err := http.Get("http://" + s.Listen.Ready + "/")
			if err == nil {
				err = answer.Body.Close()
			}
			return err
		}, startTimeout, 20*time.Millisecond).Should(Succeed())
	})

	// Guards against calls that are cut when the settings file changes during a planned stop:
	// the signal for it ended the process at once.
	DescribeTable("is not ended sooner by a further signal",
		func(further syscall.Signal) {
			stopped := time.Now()
			Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
			time.Sleep(300 * time.Millisecond)
			Expect(command.Process.Signal(further)).To(Succeed())
			Eventually(ended, 4*time.Second).Should(Receive(BeNil()))
			Expect(time.Since(stopped)).To(BeNumerically(">", time.Second), output.String())
			Expect(output.String()).To(ContainSubstring("gateway: Stopped."))
		},
		Entry("SIGHUP", syscall.SIGHUP),
		Entry("SIGTERM", syscall.SIGTERM),
		Entry("SIGINT", syscall.SIGINT),
	)
})
