package capacity

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/daemon"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

const (
	// controlReadyTimeout bounds the start of the measured daemon.
	controlReadyTimeout = 60 * time.Second
	// controlReadyPoll is the time between two looks at the starting daemon.
	controlReadyPoll = 100 * time.Millisecond
)

// errControlNotReady reports a measured daemon that did not learn the whole fleet in time.
var errControlNotReady = errors.New("daemon does not know the whole fleet in time")

// ControlConfig describes one measurement of a daemon's control work.
type ControlConfig struct {
	// Standins is the control address of the stand-ins, ip:port.
	Standins string
	// Settle is the time between the start and the measurement.
	Settle time.Duration
	// Window is the time that is measured.
	Window time.Duration
	// Profile is a file for the window's CPU profile; empty for none.
	Profile string
	// HeapProfile is a file for the heap's profile after the window; empty for none.
	HeapProfile string
	Log         zerolog.Logger
}

// ControlResult is what one daemon used without callers' traffic.
type ControlResult struct {
	Config        StandinsConfig `json:"config"`
	WindowSeconds float64        `json:"window_seconds"`
	// ReadySeconds is the time from the start until the daemon knew the whole fleet.
	ReadySeconds      float64 `json:"ready_seconds"`
	ResidentBytes     int64   `json:"resident_bytes"`
	LiveHeapBytes     uint64  `json:"live_heap_bytes"`
	CPUMsPerSecond    float64 `json:"cpu_ms_per_second"`
	AllocatedPerSec   float64 `json:"allocated_bytes_per_second"`
	PeerSentPerSec    float64 `json:"peer_sent_bytes_per_second"`
	PeerRecvPerSec    float64 `json:"peer_received_bytes_per_second"`
	PlatformSentSec   float64 `json:"platform_sent_bytes_per_second"`
	PlatformRecvSec   float64 `json:"platform_received_bytes_per_second"`
	PlatformReadsSec  float64 `json:"platform_reads_per_second"`
	PlatformWritesSec float64 `json:"platform_writes_per_second"`
}

// ControlBytesPerSecond is everything sent and received for control.
func (r ControlResult) ControlBytesPerSecond() float64 {
	return r.PeerSentPerSec + r.PeerRecvPerSec + r.PlatformSentSec + r.PlatformRecvSec
}

// MeasureControl runs one daemon in this process among the stand-ins.
func MeasureControl(ctx context.Context, config ControlConfig) (ControlResult, error) {
	info, err := askInfo(config.Standins)
	if err != nil {
		return ControlResult{}, err
	}
	d := daemon.New(controlSettings(info), config.Log)
	if err := d.Provision(); err != nil {
		return ControlResult{}, err
	}
	defer d.Cleanup()
	running, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- d.Run(running) }()
	result, err := observe(ctx, config, info, d)
	stop()
	return result, errors.Join(err, <-done)
}

// controlSettings returns the settings of the measured daemon.
func controlSettings(info standinsInfo) settings.Settings {
	s := settings.Default()
	s.Host = settings.Host{Name: string(info.Host), FailureDomain: string(info.Domain)}
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Local: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	s.Platform.Address = info.Platform
	s.Peers.GossipInterval = info.Config.GossipInterval
	s.Timeouts.DrainGrace = 0
	return s
}

// observe waits until the daemon is ready and measures the window.
func observe(ctx context.Context, config ControlConfig, info standinsInfo, d *daemon.Daemon) (ControlResult, error) {
	started := time.Now()
	if err := askTargets(config.Standins, d.Addresses().Local); err != nil {
		return ControlResult{}, err
	}
	if err := awaitFleet(ctx, info, d); err != nil {
		return ControlResult{}, err
	}
	ready := time.Since(started)
	if err := pause(ctx, config.Settle); err != nil {
		return ControlResult{}, err
	}
	if config.Profile != "" {
		file, err := os.Create(config.Profile)
		if err != nil {
			return ControlResult{}, fault.New("create profile", "", err)
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return ControlResult{}, fault.New("start profile", "", err)
		}
		defer pprof.StopCPUProfile()
	}
	result, err := window(ctx, config)
	result.ReadySeconds = ready.Seconds()
	return result, errors.Join(err, writeHeapProfile(config.HeapProfile))
}

// writeHeapProfile writes the heap's profile to a file; no name, no file.
func writeHeapProfile(name string) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return fault.New("create heap profile", "", err)
	}
	return fault.New("write heap profile", "", errors.Join(pprof.WriteHeapProfile(file), file.Close()))
}

// awaitFleet waits until the daemon knows the whole fleet and catalogue.
func awaitFleet(ctx context.Context, info standinsInfo, d *daemon.Daemon) error {
	deadline := time.Now().Add(controlReadyTimeout)
	for {
		status := d.Status()
		size := info.Config.Size
		if status.Ready && status.KnownHosts >= size.Hosts && status.KnownTargets >= size.Targets && status.Revision >= info.Revision {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: ready %v, hosts %d, targets %d, revision %d",
				errControlNotReady, status.Ready, status.KnownHosts, status.KnownTargets, status.Revision)
		}
		if err := pause(ctx, controlReadyPoll); err != nil {
			return err
		}
	}
}

// window measures one window.
func window(ctx context.Context, config ControlConfig) (ControlResult, error) {
	before, err := askInfo(config.Standins)
	if err != nil {
		return ControlResult{}, err
	}
	used, err := readUsage()
	if err != nil {
		return ControlResult{}, err
	}
	if err := pause(ctx, config.Window); err != nil {
		return ControlResult{}, err
	}
	then, err := readUsage()
	if err != nil {
		return ControlResult{}, err
	}
	after, err := askInfo(config.Standins)
	if err != nil {
		return ControlResult{}, err
	}
	seconds := then.at.Sub(used.at).Seconds()
	rss, err := resident()
	return ControlResult{
		Config:            after.Config,
		WindowSeconds:     seconds,
		ResidentBytes:     rss,
		LiveHeapBytes:     liveHeap(),
		CPUMsPerSecond:    float64((then.cpu - used.cpu).Microseconds()) / 1000 / seconds,
		AllocatedPerSec:   float64(then.allocated-used.allocated) / seconds,
		PeerSentPerSec:    float64(after.PeerBytes.Sent-before.PeerBytes.Sent) / seconds,
		PeerRecvPerSec:    float64(after.PeerBytes.Received-before.PeerBytes.Received) / seconds,
		PlatformSentSec:   float64(after.PlatformBytes.Sent-before.PlatformBytes.Sent) / seconds,
		PlatformRecvSec:   float64(after.PlatformBytes.Received-before.PlatformBytes.Received) / seconds,
		PlatformReadsSec:  float64(after.Reads-before.Reads) / seconds,
		PlatformWritesSec: float64(after.Writes-before.Writes) / seconds,
	}, err
}

// pause waits, and returns the context's error when it ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
