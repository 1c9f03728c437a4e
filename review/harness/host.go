package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/loopback"
)

// host is a daemon with its target and its way to the store.
type host struct {
	name, zone, service                       string
	outbound, inbound, ready, control, metric string
	dir, binary                               string
	door                                      *door
	target                                    *target
	record                                    *record

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newHost prepares a host. Its daemon and its target have not started.
func newHost(f *fleet, ports *loopback.Ports, name, service string) (*host, error) {
	d, err := f.store.newDoor()
	if err != nil {
		return nil, err
	}
	h := &host{name: name, zone: "trelew", service: service, dir: f.dir, binary: f.binary, door: d, record: f.record}
	app := ""
	for _, address := range []*string{&h.outbound, &h.inbound, &h.ready, &h.control, &h.metric, &app} {
		if *address, err = ports.Address(); err != nil {
			return nil, err
		}
	}
	h.target = &target{service: service, addr: app, control: h.control, record: f.record}
	return h, os.WriteFile(h.settingsFile(), []byte(h.settings()), 0o600)
}

// settingsFile returns the path of the daemon's settings file.
func (h *host) settingsFile() string { return filepath.Join(h.dir, h.name+".conf") }

// settings returns the daemon's settings, with the figures of the smallest deployment of the pages.
func (h *host) settings() string {
	_, port, _ := net.SplitHostPort(h.metric)
	return strings.Join([]string{
		"node_name=" + h.name, "role=mesh", "machine_class=sidecar", "serves=sidecar", "ip=127.0.0.1", "zone=" + h.zone,
		"region=patagonia-norte", "zones.trelew=patagonia-norte", "listen_addrs.inbound=" + h.inbound,
		"listen_addrs.outbound=" + h.outbound, "listen_addrs.ready=" + h.ready, "listen_addrs.control_plane=" + h.control,
		"internal_ports=" + port + "," + port, "seeds=", "bootstrap=true", "loss_counts=false", "limits.cpu_share=0.32",
		"limits.cpu_cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=local", "entry=local", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.revoke_strict=false", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_slack=58", "bounds.quota_window_s=5",
		"bounds.quota_overshoot=0.1", "bounds.quota_slack=20", "bounds.recovery_s=15", "bounds.probes_per_s=3",
		"bounds.floor_share=0.7", "app_addr=" + h.target.addr, "service=" + h.service, "platform.address=" + h.door.addr,
		"platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "",
	}, "\n")
}

// startTarget starts the target with its true time of birth.
func (h *host) startTarget() error {
	return h.target.start("i-"+h.name, time.Now())
}

// startDaemon starts the daemon with the command of the deploy file.
func (h *host) startDaemon() error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd, ended := exec.Command(h.binary, "mesh"), make(chan struct{})
	cmd.Env = append(os.Environ(), "BUCKTHORNLATCH_SETTINGS="+h.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	// The daemon ends with the harness, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	h.record.note("daemon %s starts", h.name)
	return nil
}

// kill kills the daemon and returns when it has ended.
func (h *host) kill() {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
	h.record.note("daemon %s was killed", h.name)
}

// isReady asks the daemon whether callers may use it.
func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (h *host) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready after %v", h.name, timeout)
}

// gracePeriod is grace_s of the deployment.
const gracePeriod = 6 * time.Second

// restart stops the daemon as the platform does and starts it again.
func (h *host) restart() error {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	h.record.note("daemon %s gets SIGTERM", h.name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		h.kill()
	}
	h.record.note("daemon %s has ended", h.name)
	time.Sleep(restartPause)
	return h.startDaemon()
}
