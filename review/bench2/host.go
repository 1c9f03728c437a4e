package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The bounds of the settings that the checks use.
const (
	contact     = 3 * time.Second
	drainBound  = 2 * time.Second
	gracePeriod = 6 * time.Second
	// restartDelay is how long the platform takes to start a process that has ended.
	restartDelay = 200 * time.Millisecond
)

// host is a machine with an upstream and a daemon beside it.
type host struct {
	play     *play
	name     string
	ports    map[string]string
	upstream *upstream
	// storeDown is set while the store turns this host away.
	storeDown atomic.Bool
	store     *http.Server

	settings, log string
	process       *exec.Cmd
	// exited is closed when the process has ended; startedAt is when it was started.
	exited    chan struct{}
	startedAt time.Time
}

// freePort returns an address of an IP with a port that is free.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// newHost prepares a host on an address of its own.
func newHost(p *play, name, ip, zone, service string) (*host, error) {
	h := &host{play: p, name: name, ports: map[string]string{}}
	for _, port := range []string{"inbound", "outbound", "ready", "control_plane", "app", "internal", "platform"} {
		address, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		h.ports[port] = address
	}
	listener, err := net.Listen("tcp", h.ports["platform"])
	if err != nil {
		return nil, err
	}
	h.store = &http.Server{Handler: p.store.handler(h.storeDown.Load)}
	go func() { _ = h.store.Serve(listener) }()
	h.upstream = &upstream{
		service: service, zone: zone, address: h.ports["app"], controlPlane: h.ports["control_plane"], slots: 5,
		work: 50 * time.Millisecond, record: p.record,
	}
	_, internal, err := net.SplitHostPort(h.ports["internal"])
	if err != nil {
		return nil, err
	}
	h.settings, h.log = filepath.Join(p.dir, name+".conf"), filepath.Join(p.dir, name+".log")
	text := strings.Join([]string{
		"node_name=" + name, "role=mesh", "machine_class=sidecar", "serves=sidecar", "ip=" + ip, "zone=" + zone,
		"region=patagonia-norte", "zones.trelew=patagonia-norte", "zones.gaiman=patagonia-norte",
		"listen_addrs.inbound=" + h.ports["inbound"], "listen_addrs.outbound=" + h.ports["outbound"],
		"listen_addrs.ready=" + h.ports["ready"], "listen_addrs.control_plane=" + h.ports["control_plane"],
		"internal_ports=" + internal + "," + internal, "seeds=", "bootstrap=true", "loss_counts=false",
		"limits.cpu_share=0.32", "limits.cpu_cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"limits.disk_mb=0", "discovery=local", "entry=local", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.revoke_strict=false", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_slack=58", "bounds.quota_window_s=5",
		"bounds.quota_overshoot=0.1", "bounds.quota_slack=20", "bounds.recovery_s=15", "bounds.probes_per_s=3",
		"bounds.floor_share=0.7", "app_addr=" + h.ports["app"], "service=" + service, "platform.address=" + h.ports["platform"],
		"platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.tx_ms=3.0",
		"platform.part_writes_s=300", "platform.row_bytes=65536", "platform.across=true", "platform.history_s=20",
		"platform.blob_bytes=8388608", "platform.blob_ms=25.0", "platform.blob_mb_s=80.0", "",
	}, "\n")
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the daemon.
func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.process = exec.Command(h.play.daemon, "mesh")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.play.dir, "BUCKTHORNLATCH_SETTINGS=" + h.settings}
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	h.startedAt, h.exited = time.Now(), make(chan struct{})
	h.play.record.note("start    daemon of %s", h.name)
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		close(exited)
	}(h.process, h.exited)
	return nil
}

// errNotRunning reports that there is no process to signal.
var errNotRunning = errors.New("the daemon is not running")

// signal sends a signal to the daemon.
func (h *host) signal(s syscall.Signal) error {
	if h.process == nil {
		return errNotRunning
	}
	h.play.record.note("signal   %v to the daemon of %s", s, h.name)
	return h.process.Process.Signal(s)
}

// restart stops the daemon as the platform does, with SIGTERM and, after the grace period, SIGKILL, and starts it again.
func (h *host) restart() error {
	if err := h.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-h.exited:
	case <-time.After(gracePeriod):
		_ = h.signal(syscall.SIGKILL)
		<-h.exited
	}
	h.play.record.note("exit     daemon of %s", h.name)
	time.Sleep(restartDelay)
	return h.start()
}

// awaitReady waits until the daemon takes callers.
func (h *host) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + h.ports["ready"] + "/api/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", h.name, ctx.Err())
}

// close ends the daemon, the upstream and the way to the store.
func (h *host) close() {
	if h.process != nil {
		_ = h.process.Process.Kill()
		<-h.exited
	}
	h.upstream.stop()
	_ = h.store.Close()
}
