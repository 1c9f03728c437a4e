package customers_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCustomers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "customers")
}
