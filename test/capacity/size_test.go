package capacity_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dotterellink/dotterellink/internal/platform"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Capacity Suite")
}

var _ = Describe("The state of an environment", func() {
	It("fits one value of the platform at the size to design for", func() {
		data, err := json.Marshal(newState(sizes[2]))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<=", platform.MaxValueBytes))
	})
})
