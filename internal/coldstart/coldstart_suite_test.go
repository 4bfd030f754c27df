package coldstart_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func TestColdstart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldstart")
}
