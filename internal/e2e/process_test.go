package e2e_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

// process is one running program of the fleet.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed after the process ended; err is its result.
	exited chan struct{}
	err    error
}

// startProcess runs the binary with a log file that later starts append to.
func startProcess(binary, dir, name string, args ...string) *process {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	p := &process{name: name, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

// signal sends a signal to this process alone.
func (p *process) signal(s syscall.Signal) {
	Expect(p.cmd.Process.Signal(s)).To(Succeed(), "signal %v to %s", s, p.name)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// await waits for the end of the process and returns its result.
func (p *process) await(bound time.Duration) error {
	select {
	case <-p.exited:
		return p.err
	case <-time.After(bound):
		return fmt.Errorf("%s has not ended after %v", p.name, bound)
	}
}

// kill ends the process at once, also when it is stopped.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}
