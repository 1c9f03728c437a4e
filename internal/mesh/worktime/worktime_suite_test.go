package worktime_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWorktime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "worktime")
}
