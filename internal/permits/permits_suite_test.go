package permits_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPermits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "permits")
}
