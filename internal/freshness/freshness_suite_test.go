package freshness_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFreshness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "freshness")
}
