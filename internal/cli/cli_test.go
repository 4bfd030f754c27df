package cli_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/cli"
)

func run(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := cli.Run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// serve answers every request with the status and body.
func serve(status int, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var _ = Describe("The tool", func() {
	BeforeEach(func() {
		for _, name := range []string{"DOTTERELLINK_ADDRESS", "DOTTERELLINK_TOKEN", "DOTTERELLINK_TOKEN_FILE"} {
			// Setenv restores the variable after the spec.
			GinkgoT().Setenv(name, "")
			Expect(os.Unsetenv(name)).To(Succeed())
		}
	})

	DescribeTable("exits by the kind of failure and says what to do",
		func(status int, want int) {
			address := serve(status, `{"error":"it failed","hint":"do this"}`)
			code, _, errOut := run("--token", "t", "--address", address, "zone", "out", "zone-a")
			Expect(code).To(Equal(want))
			Expect(errOut).To(ContainSubstring("do this"))
		},
		Entry(nil, http.StatusUnauthorized, cli.ExitNotAllowed),
		Entry(nil, http.StatusForbidden, cli.ExitNotAllowed),
		Entry(nil, http.StatusUnprocessableEntity, cli.ExitInvalid),
		Entry(nil, http.StatusConflict, cli.ExitConflict),
		Entry(nil, http.StatusNotFound, cli.ExitNotFound),
		Entry(nil, http.StatusServiceUnavailable, cli.ExitUnavailable),
		Entry(nil, http.StatusGatewayTimeout, cli.ExitUnknown),
		Entry(nil, http.StatusInternalServerError, cli.ExitFailed),
	)

	It("asks the next address when one takes no connection", func() {
		address := serve(http.StatusOK, `{"revision":7}`)
		code, out, _ := run("--token", "t", "--address", "127.0.0.1:1", "--address", address, "zone", "out", "zone-a")
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("accepted as revision 7"))
	})

	It("calls the outcome of a change unknown when its answer is lost", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(server.Close)
		code, _, errOut := run("--token", "t", "--address", strings.TrimPrefix(server.URL, "http://"), "zone", "out", "zone-a")
		Expect(code).To(Equal(cli.ExitUnknown))
		Expect(errOut).To(ContainSubstring("environment history"))
	})

	It("prints JSON on request", func() {
		address := serve(http.StatusOK, `{"keys":[{"id":"k","account":"celula","created_ms":0}]}`)
		code, out, _ := run("--token", "t", "--address", address, "--output", "json", "key", "list")
		Expect(code).To(Equal(cli.ExitOK))
		Expect(out).To(MatchJSON(`{"keys":[{"id":"k","account":"celula","created_ms":0}]}`))
	})

	It("validates a document without an instance", func() {
		path := filepath.Join(GinkgoT().TempDir(), "environment.json")
		Expect(os.WriteFile(path, []byte(`{"zones": []}`), 0o600)).To(Succeed())
		code, _, errOut := run("environment", "validate", path)
		Expect(code).To(Equal(cli.ExitInvalid))
		Expect(errOut).To(ContainSubstring("missing properties"))
	})

	It("refuses bad usage", func() {
		for _, args := range [][]string{{"zone"}, {"zone", "out"}, {"--output", "xml", "status"}, {"status"}, {"completion", "fish"}} {
			code, _, errOut := run(args...)
			Expect(code).To(Equal(cli.ExitUsage), "%v", args)
			Expect(errOut).NotTo(BeEmpty())
		}
	})
})
