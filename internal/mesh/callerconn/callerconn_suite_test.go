package callerconn_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCallerconn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerconn")
}
