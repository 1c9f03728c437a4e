package crowd_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/loopback"
)

// process is a running program whose use of memory and descriptors is observed.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu sync.Mutex
	// mostFiles is the largest number of open descriptors that was seen.
	mostFiles int
}

// startProcess runs the program until the end of the spec. Its output is kept in dir until then.
func startProcess(dir, name string, env []string, args ...string) *process {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	Expect(err).NotTo(HaveOccurred())
	p := &process{cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	go p.watchFiles()
	DeferCleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		_ = log.Close()
	})
	return p
}

// watchFiles counts the open descriptors until the process ends.
func (p *process) watchFiles() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.mostFiles = max(p.mostFiles, len(entries))
		p.mu.Unlock()
	}
}

// files returns the largest number of open descriptors so far.
func (p *process) files() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mostFiles
}

// mostMemory returns the largest resident memory so far in MiB.
func (p *process) mostMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range bytes.Lines(status) {
		if value, found := bytes.CutPrefix(line, []byte("VmHWM:")); found {
			kib, err := strconv.Atoi(string(bytes.TrimSpace(bytes.TrimSuffix(bytes.TrimSpace(value), []byte("kB")))))
			Expect(err).NotTo(HaveOccurred())
			return kib >> 10
		}
	}
	Fail("no VmHWM in the status of the process")
	return 0
}

// expectWithin checks that the process lives and has stayed within its limits.
func (p *process) expectWithin(memoryMB, maxFiles int) {
	GinkgoHelper()
	Expect(p.exited).NotTo(BeClosed(), "the process has ended")
	memory, files := p.mostMemory(), p.files()
	GinkgoWriter.Printf("most resident memory %d MiB, most open descriptors %d\n", memory, files)
	Expect(memory).To(BeNumerically("<=", memoryMB), "resident memory in MiB")
	Expect(files).To(BeNumerically("<=", maxFiles), "open descriptors")
}

// ports hands out the addresses.
var ports = loopback.NewPorts()

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	address, err := ports.Address()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// tempDir returns a directory that is removed at the end of the spec.
func tempDir() string {
	dir, err := os.MkdirTemp("", "buckthornlatch-crowd-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	return dir
}
