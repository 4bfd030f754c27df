package allowance_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAllowance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Allowance Suite")
}
