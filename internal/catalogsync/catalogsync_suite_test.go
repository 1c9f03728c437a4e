package catalogsync_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCatalogsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalogsync")
}
