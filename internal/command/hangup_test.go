package command_test

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/command"
)

// hangupVariable makes the test binary play the daemon that gets SIGHUP.
const hangupVariable = "BUCKTHORNLATCH_TEST_HANGUP"

// TestServeSurvivesHangup guards against a SIGHUP that ends a daemon without a drain, with all its requests.
func TestServeSurvivesHangup(t *testing.T) {
	if os.Getenv(hangupVariable) != "" {
		serve := command.Serve{Settings: filepath.Join(t.TempDir(), "missing.toml")}
		if serve.Run(context.Background(), io.Discard) == nil {
			t.Fatal("a missing settings file is no error")
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestServeSurvivesHangup$")
	cmd.Env = append(os.Environ(), hangupVariable+"=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}
