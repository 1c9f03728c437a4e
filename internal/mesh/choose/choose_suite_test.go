package choose_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestChoose(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "choose")
}
