package keys_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Keys Suite")
}

var _ = Describe("A key", func() {
	var key string
	var record environment.Key
	viewOf := func(records ...environment.Key) *environment.View {
		return environment.NewView(&environment.State{Keys: records}, time.Time{})
	}

	BeforeEach(func() {
		key, record = keys.New()
		record.Account = "celula"
	})

	It("authenticates its account, and no other credentials do", func() {
		other, _ := keys.New()
		view := viewOf(record)
		got, err := keys.Authenticate(view, "Bearer "+key)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Account).To(Equal("celula"))
		secret := strings.SplitN(key, "_", 3)[2]
		for _, wrong := range []string{"", key, "Bearer ", "Bearer " + other, "Bearer " + key + "x", "Bearer " + key[:len(key)-1], "Basic " + key, "Bearer dk_" + record.ID + "_", "Bearer dk__" + secret, "Bearer dk_" + record.ID + "_" + record.SHA256} {
			_, err := keys.Authenticate(view, wrong)
			Expect(err).To(MatchError(keys.ErrUnauthorized), wrong)
			Expect(err.Error()).NotTo(ContainSubstring(secret))
		}
	})

	It("is rejected if its record is missing or has an empty hash", func() {
		_, err := keys.Authenticate(viewOf(), "Bearer "+key)
		Expect(err).To(MatchError(keys.ErrUnauthorized))
		_, err = keys.Authenticate(viewOf(environment.Key{ID: record.ID}), "Bearer "+key)
		Expect(err).To(MatchError(keys.ErrUnauthorized))
	})

	It("is stored only as a hash and does not appear in logs", func() {
		Expect(record.SHA256).To(HaveLen(64))
		for _, format := range []string{"text", "json"} {
			var out bytes.Buffer
			logger, err := telemetry.NewLogger(&out, "debug", format)
			Expect(err).NotTo(HaveOccurred())
			telemetry.Prefixed(logger, "entry").WithField("header", []string{"Bearer " + key}).Infof("Call with %s.", key)
			Expect(out.String()).To(ContainSubstring("[key]"))
			Expect(out.String()).NotTo(ContainSubstring(key))
		}
	})
})
