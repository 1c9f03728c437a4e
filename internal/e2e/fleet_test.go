package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/measuring/faultproxy"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

const (
	hostCount = 4
	// readyTimeout bounds the wait until all daemons serve and know all targets.
	readyTimeout = 40 * time.Second
	// pollPeriod is the time between two checks of a condition.
	pollPeriod = 50 * time.Millisecond
	// platformReads and platformWrites are the platform's limits per second.
	platformReads, platformWrites = 2000, 400
)

// fleet is a whole fleet of processes on loopback.
type fleet struct {
	dir, binary  string
	platformAddr string
	platform     *process
	hosts        []*host
	operators    []operator
	keys         load.Keys
	watcher      *revisionWatcher
	// oneChange says that hosts and customers come with one first change.
	oneChange bool
	// histories are all recorded loads; late runs are checked at the end.
	histories []load.History
}

// start builds the binary, starts every process and applies the catalogue.
// The caller closes the fleet, also when this function fails an expectation.
func (f *fleet) start() {
	var err error
	f.dir, err = os.MkdirTemp("", "buckthornlatch-e2e-")
	Expect(err).NotTo(HaveOccurred())
	f.build()
	for _, name := range []string{"alba", "bruno"} {
		o := operator{name: name, token: "token-of-" + name}
		o.tokenFile = f.writeFile(name+".token", o.token)
		f.operators = append(f.operators, o)
	}
	free := newPorts()
	f.platformAddr = free.address()
	f.platform = startProcess(f.binary, f.dir, "platform", "emulate", "platform", "--listen", f.platformAddr,
		"--reads-per-second", strconv.Itoa(platformReads), "--writes-per-second", strconv.Itoa(platformWrites))
	for i := range hostCount {
		f.addHost(i, free)
	}
	for _, h := range f.hosts {
		f.startDaemon(h)
	}
	f.awaitReady(0)
	f.applyCatalogue()
	f.keys = load.Keys{
		largeCustomer: f.issueKey(largeCustomer).secret,
		tightCustomer: f.issueKey(tightCustomer).secret,
	}
	f.awaitReady(hostCount)
	f.watcher = watchRevisions(f.hosts)
}

// applyCatalogue creates all entries.
func (f *fleet) applyCatalogue() {
	GinkgoHelper()
	entries, customers := f.catalogue(), f.customers()
	if f.oneChange {
		entries += customers
	}
	_, err := f.apply(f.operators[0], f.hosts[0], f.writeFile("catalogue.toml", entries))
	Expect(err).NotTo(HaveOccurred())
	if f.oneChange {
		return
	}
	// A daemon that performs its duties under the first roster knows that the customers are new. Homes that
	// cannot know it withhold their shares for longer than a fence, and the first cases would measure that.
	f.awaitDuties()
	_, err = f.apply(f.operators[0], f.hosts[0], f.writeFile("customers.toml", customers))
	Expect(err).NotTo(HaveOccurred())
}

// build compiles the binary with the race detector.
func (f *fleet) build() {
	f.binary = filepath.Join(f.dir, "buckthornlatch")
	cmd := exec.Command("go", "build", "-race", "-p", "3", "-o", f.binary, "./cmd/buckthornlatch")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
}

// addHost prepares a host slot and starts its target.
func (f *fleet) addHost(i int, free *ports) {
	h := &host{
		name: fmt.Sprintf("host-%d", i+1), domain: fmt.Sprintf("fd-%d", i/2+1),
		caller: free.address(), peer: free.address(), local: free.address(), admin: free.address(),
		control: free.address(), target: fmt.Sprintf("reservas-%d", i+1),
	}
	var err error
	h.platform, err = faultproxy.New(f.platformAddr)
	Expect(err).NotTo(HaveOccurred())
	h.announcer = newAnnouncer(h.local)
	f.hosts = append(f.hosts, h)
	h.emulator = startProcess(f.binary, f.dir, "target-"+h.name, "emulate", "target",
		"--announce", h.announcer.server.Listener.Addr().String(), "--control", h.control,
		"--target", "reservas/"+h.target, "--slots", "5", "--service-time", "20ms", "--seed", strconv.Itoa(i+1))
}

// startDaemon starts a host's daemon, also again.
func (f *fleet) startDaemon(h *host) {
	seed := f.hosts[0].peer
	if h == f.hosts[0] {
		seed = f.hosts[1].peer
	}
	h.daemon = startProcess(f.binary, f.dir, h.name, "serve", "--settings", h.writeSettings(f.dir, seed, f.operators))
}

// awaitReady waits until every daemon is registered and ready and knows the given number of targets.
func (f *fleet) awaitReady(targets int) {
	GinkgoHelper()
	Eventually(func() error {
		for _, h := range f.hosts {
			s, err := h.status()
			if err != nil {
				return err
			}
			if !s.Ready || s.Epoch == 0 || s.KnownTargets < targets || s.KnownHosts < hostCount {
				return fmt.Errorf("%s: %+v", h.name, s)
			}
		}
		return nil
	}, readyTimeout, pollPeriod).Should(Succeed())
}

// awaitDuties waits until every daemon may perform its duties.
func (f *fleet) awaitDuties() {
	GinkgoHelper()
	Eventually(func() error {
		for _, h := range f.hosts {
			if s, err := h.status(); err != nil || !s.DutiesConfirmed {
				return fmt.Errorf("%s: %+v, %w", h.name, s, err)
			}
		}
		return nil
	}, readyTimeout, pollPeriod).Should(Succeed())
}

// restore removes all faults, starts what was killed and waits until the fleet is whole.
func (f *fleet) restore() {
	GinkgoHelper()
	f.setPlatform(platform.Faults{})
	for _, h := range f.hosts {
		h.platform.Set(faultproxy.Faults{})
		h.setPath(faultproxy.Faults{})
		h.setMode(target.Healthy)
		if !h.daemon.running() {
			f.startDaemon(h)
		}
	}
	f.awaitReady(hostCount)
}

// setPlatform switches the platform's faults.
func (f *fleet) setPlatform(faults platform.Faults) {
	GinkgoHelper()
	faults.ReadsPerSecond, faults.WritesPerSecond = platformReads, platformWrites
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platformAddr+"/control/faults", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// runs adds up the targets' counts by request id.
func (f *fleet) runs() map[string]int {
	GinkgoHelper()
	total := make(map[string]int)
	for _, h := range f.hosts {
		response, err := http.Get("http://" + h.control + "/runs")
		Expect(err).NotTo(HaveOccurred())
		counts := make(map[string]int)
		Expect(json.NewDecoder(response.Body).Decode(&counts)).To(Succeed())
		_ = response.Body.Close()
		for requestID, n := range counts {
			total[requestID] += n
		}
	}
	return total
}

// logOf returns the log of a host's daemons.
func (f *fleet) logOf(h *host) string {
	GinkgoHelper()
	text, err := os.ReadFile(filepath.Join(f.dir, h.name+".log"))
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// others returns all hosts but some.
func (f *fleet) others(without ...*host) []*host {
	var out []*host
	for _, h := range f.hosts {
		excluded := false
		for _, w := range without {
			excluded = excluded || h == w
		}
		if !excluded {
			out = append(out, h)
		}
	}
	return out
}

// close ends every process. Logs are kept after a failure.
func (f *fleet) close(failed bool) {
	if f.watcher != nil {
		f.watcher.close()
	}
	for _, h := range f.hosts {
		h.close()
	}
	if f.platform != nil {
		f.platform.kill()
	}
	if failed {
		GinkgoWriter.Printf("e2e: logs are kept in %s\n", f.dir)
		_ = os.Remove(f.binary)
		return
	}
	_ = os.RemoveAll(f.dir)
}
