package quickstart_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuickstart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quickstart Suite")
}
