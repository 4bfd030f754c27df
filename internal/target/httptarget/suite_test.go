package httptarget_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "HTTP Target Suite")
}
