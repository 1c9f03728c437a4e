package policycheck_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPolicyCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policycheck")
}
