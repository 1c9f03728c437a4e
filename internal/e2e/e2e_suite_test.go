package e2e_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteTimeout ends a hanging suite in time for its processes to be ended,
// which the time limit of "go test" does not allow.
const suiteTimeout = 8 * time.Minute

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.Timeout = suiteTimeout + randomDuration()
	RunSpecs(t, "End-to-end Suite", suite, reporter)
}
