package trace_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/trace"
)

var _ = Describe("Generate", func() {
	options := trace.GenerateOptions{Seed: 7, DurationMS: 120_000, RequestsPerSecond: 20}

	It("gives the same trace for the same seed and another for another", func() {
		a, b := trace.Generate(trace.Celula(), options), trace.Generate(trace.Celula(), options)
		Expect(a).To(Equal(b))
		other := options
		other.Seed = 8
		Expect(trace.Generate(trace.Celula(), other).Records).NotTo(Equal(a.Records))
	})

	DescribeTable("follows the deployment",
		func(d trace.Deployment) {
			t := trace.Generate(d, options)
			counts := make(map[string]int)
			bookings, services, surge := 0, 0, 0
			for i, r := range t.Records {
				counts[r.Account]++
				if i > 0 {
					Expect(r.AtMS).To(BeNumerically(">=", t.Records[i-1].AtMS))
				}
				if r.Kind == trace.KindService {
					services++
					if !r.Idempotent {
						bookings++
					}
					continue
				}
				Expect(r.PromptTokens).To(BeNumerically(">=", r.PrefixTokens))
				if part := float64(r.AtMS) / 120_000; r.Account == d.Surge.Account && part >= d.Surge.From && part < d.Surge.To {
					surge++
				}
			}
			Expect(counts).To(HaveLen(len(d.Accounts)))
			Expect(float64(services) / float64(len(t.Records))).To(BeNumerically("~", d.ServiceShare, 0.05))
			Expect(bookings).To(BeNumerically(">", 0))
			Expect(surge).To(BeNumerically(">", 0))
		},
		Entry("Celula", trace.Celula()),
		Entry("Ingrassa", trace.Ingrassa()),
	)
})

var _ = Describe("Read", func() {
	It("reads what Write wrote", func() {
		t := trace.Generate(trace.Ingrassa(), trace.GenerateOptions{Seed: 1, DurationMS: 5000, RequestsPerSecond: 20})
		var buffer bytes.Buffer
		Expect(trace.Write(&buffer, t)).To(Succeed())
		Expect(trace.Read(&buffer)).To(Equal(t))
	})

	DescribeTable("refuses bad traces and names the line",
		func(text, want string) {
			_, err := trace.Read(strings.NewReader(text))
			Expect(err).To(MatchError(trace.ErrFormat))
			Expect(err.Error()).To(ContainSubstring(want))
		},
		Entry("other version", `{"version":2}`, "line 1"),
		Entry("broken record", "{\"version\":1}\n{", "line 2"),
		Entry("out of order", "{\"version\":1}\n{\"at_ms\":5}\n{\"at_ms\":4}", "line 3"),
	)
})
