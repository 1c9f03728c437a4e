package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/measuring/faultproxy"
)

// statusTimeout bounds one reading of a daemon's state.
const statusTimeout = 2 * time.Second

// host is one host slot: a daemon, the emulated target beside it and the fault
// proxies between the daemon and the platform and between gate and target.
type host struct {
	name, domain               string
	caller, peer, local, admin string
	control, target            string

	platform  *faultproxy.Proxy
	announcer *announcer
	daemon    *process
	emulator  *process
}

// status is the part of a daemon's state that the tests read.
type status struct {
	Incarnation     uint64 `json:"incarnation"`
	Epoch           uint64 `json:"epoch"`
	Ready           bool   `json:"ready"`
	Fresh           string `json:"fresh"`
	Revision        uint64 `json:"revision"`
	DutiesConfirmed bool   `json:"duties_confirmed"`
	KnownHosts      int    `json:"known_hosts"`
	KnownTargets    int    `json:"known_targets"`
}

// url is the base URL for callers.
func (h *host) url() string {
	return "http://" + h.caller
}

// status reads the daemon's state.
func (h *host) status() (status, error) {
	var s status
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.admin + "/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// writeSettings writes the daemon's settings file and returns its name.
func (h *host) writeSettings(dir, seed string, operators []operator) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[host]\nname = %q\nfailure_domain = %q\n", h.name, h.domain)
	fmt.Fprintf(&b, "[listen]\ncaller = %q\npeer = %q\nlocal = %q\nadmin = %q\n", h.caller, h.peer, h.local, h.admin)
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", "http://"+h.platform.Addr())
	fmt.Fprintf(&b, "[peers]\nseeds = [%q]\n", seed)
	for _, o := range operators {
		fmt.Fprintf(&b, "[[operators]]\nname = %q\ntoken_hash = %q\ngroups = [\"senderos\"]\n", o.name, o.hash())
	}
	file := filepath.Join(dir, h.name+".toml")
	Expect(os.WriteFile(file, []byte(b.String()), 0o600)).To(Succeed())
	return file
}

// setMode changes how the host's target treats work.
func (h *host) setMode(mode target.Mode) {
	body, err := json.Marshal(target.ModeChange{Target: h.target, Mode: mode})
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+h.control+"/mode", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// setPath sets the faults between the gate and its target.
func (h *host) setPath(f faultproxy.Faults) {
	h.announcer.each(func(p *faultproxy.Proxy) { p.Set(f) })
}

// killDaemon ends the daemon without notice.
func (h *host) killDaemon() {
	h.daemon.signal(syscall.SIGKILL)
	<-h.daemon.exited
}

// close ends the host's processes and proxies.
func (h *host) close() {
	for _, p := range []*process{h.daemon, h.emulator} {
		if p != nil {
			p.kill()
		}
	}
	h.platform.Close()
	h.announcer.close()
}
