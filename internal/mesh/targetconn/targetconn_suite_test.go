package targetconn_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTargetconn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetconn")
}
