package quickstart_test

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/dotterellink/dotterellink/internal/quickstart"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

var callPattern = regexp.MustCompile(`curl -N (\S+) -H 'Authorization: (Bearer \S+)' .* -d '(.*)'`)

var _ = Describe("Run", func() {
	It("prints a call that works and stops cleanly", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		out := gbytes.NewBuffer()
		done := make(chan error, 1)
		go func() { done <- quickstart.Run(ctx, "127.0.0.1:0", out, telemetry.Discard()) }()
		Eventually(out, 10*time.Second).Should(gbytes.Say("curl -N"))
		call := callPattern.FindStringSubmatch(string(out.Contents()))
		Expect(call).To(HaveLen(4))
		ask := func() string {
			request, err := http.NewRequest(http.MethodPost, call[1], strings.NewReader(call[3]))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", call[2])
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return err.Error()
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			return string(body)
		}
		Eventually(ask, 10*time.Second, 50*time.Millisecond).Should(HaveSuffix("data: [DONE]\n\n"))
		stop()
		Eventually(done, 10*time.Second).Should(Receive(BeNil()))
	})
})
