package statesync_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStatesync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "statesync")
}
