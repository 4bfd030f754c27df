package passthrough_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPassthrough(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Passthrough Suite")
}
