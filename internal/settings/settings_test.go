package settings_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/settings"
)

const valid = `// One instance.
{
  "name": "instance-1",
  "zone": "zone-a",
  "listen": {
    "callers": "127.0.0.1:8080",
    "operators": "127.0.0.1:8081", // also metrics
    "mesh": "127.0.0.1:8082",
  },
  "platform": {"url": "http://127.0.0.1:7000"},
  "tls": {"ca_file": "ca.pem", "certificate_file": "i.pem", "key_file": "i.key"},
  "operators": {"credentials": []},
  "log": {"level": "info"}
}
`

var _ = Describe("Parse", func() {
	It("accepts comments and applies defaults", func() {
		s, err := settings.Parse("f", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Environment).To(Equal("production"))
		Expect(s.Log.Format).To(Equal("text"))
	})

	DescribeTable("rejects invalid settings and names file, line and field",
		func(old, replacement, want string) {
			Expect(valid).To(ContainSubstring(old))
			_, err := settings.Parse("i.json", []byte(strings.Replace(valid, old, replacement, 1)))
			Expect(err).To(MatchError(settings.ErrInvalid))
			Expect(err.Error()).To(ContainSubstring(want))
		},
		Entry("unknown field", `"level": "info"`, `"levle": "info"`, "i.json:13: levle: unknown field"),
		Entry("invalid value", `"level": "info"`, `"level": "loud"`, "i.json:13: log.level: must be"),
		Entry("wrong type", `"127.0.0.1:8082"`, `8082`, "i.json:8: listen.mesh: must be of type string"),
		Entry("host name", `"127.0.0.1:8080"`, `"localhost:8080"`, "i.json:6: listen.callers: must be IP:PORT"),
		Entry("missing name", `"name": "instance-1",`, ``, "name: must be"),
		Entry("JSON syntax error", `"zone": "zone-a",`, `"zone" "zone-a",`, "i.json: "),
		Entry("invalid platform URL", `http://127.0.0.1:7000`, `127.0.0.1`, "i.json:10: platform.url"),
		Entry("unknown policy", `"log": {`, `"policies": {"routing": "random"}, "log": {`, "i.json:13: policies.routing: must be default"),
		Entry("text after the settings", `{"level": "info"}`+"\n}", `{"level": "info"}`+"\n} {}", "i.json"),
	)
})
