package ratesim_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRatesim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratesim")
}
