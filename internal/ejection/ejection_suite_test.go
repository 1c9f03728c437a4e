package ejection_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEjection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ejection")
}
