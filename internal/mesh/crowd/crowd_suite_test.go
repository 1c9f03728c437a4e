package crowd_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrowd(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Crowd")
}

// binary is the path of the program. It is built without the race detector, which multiplies the memory of a process.
var binary string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "buckthornlatch-crowd-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binary = filepath.Join(dir, "buckthornlatch")
	cmd := exec.Command("go", "build", "-o", binary, "./cmd/buckthornlatch")
	cmd.Dir = filepath.Join("..", "..", "..")
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})
