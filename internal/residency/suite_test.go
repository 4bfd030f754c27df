package residency

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResidency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Residency Suite")
}
