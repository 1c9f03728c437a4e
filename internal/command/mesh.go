package command

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/daemon"
	"buckthornlatch.example/buckthornlatch/internal/mesh/logging"
	"buckthornlatch.example/buckthornlatch/platform"
)

// Mesh runs the daemon beside a target on the users' platform.
type Mesh struct {
	Settings string `arg:"--settings" help:"settings file; default: the platform's"`
}

// Run serves until the context ends, then drains.
func (c *Mesh) Run(ctx context.Context, _ io.Writer) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	source, err := platform.NewSettingsSource(path)
	if err != nil {
		return err
	}
	settings := source.Current()
	lines := logging.New(os.Stdout, settings.HostName)
	defer func() { _ = lines.Close() }()
	defer logSignals(lines.Events)()
	applyMemoryLimit(settings.MemoryBytes)
	go source.Follow(ctx, lines.Events)
	d := daemon.New(meshConfig(settings, source, lines))
	if err := d.Provision(); err != nil {
		return err
	}
	defer d.Cleanup()
	return d.Run(ctx)
}

// meshConfig builds the daemon's configuration from the settings and the
// platform's adapter.
func meshConfig(s platform.Settings, source *platform.SettingsSource, lines *logging.Loggers) daemon.Config {
	return daemon.Config{
		Host: id.HostID(s.PeerAddress), Domain: id.FailureDomain(s.FailureDomain),
		Service: id.ServiceName(s.Service), TargetAddress: s.TargetAddress,
		Callers: s.CallerAddress, Peers: s.PeerAddress, Targets: s.HeartbeatAddress, Probes: s.ReadyAddress, Metrics: s.MetricsAddress,
		Headers: platform.Headers(), FirstStart: s.FirstStart,
		Bounds: func() daemon.Bounds {
			now := source.Current()
			return daemon.Bounds{
				Grace: now.GracePeriod, Policy: now.PolicyBound, Evacuation: now.EvacuationBound, RepeatRatio: now.RepeatRatio, RepeatSlack: now.RepeatSlack, RepeatWindow: now.RepeatWindow,
			}
		},
		Store:        platform.NewStore(func() string { return source.Current().StoreAddress }),
		Keys:         platform.StoreKeys(),
		DecodePolicy: s.DecodePolicy,
		RegionOf:     func(domain id.FailureDomain) string { return source.Current().Regions[string(domain)] },
		Seeds:        func() []id.HostID { return seedPeerAddresses(source.Current()) },
		TargetHandler: func(a daemon.Announcer) http.Handler {
			return platform.TargetHandler(a, lines.Events)
		},
		ProbeHandler: platform.ReadyHandler,
		MemoryBytes:  s.MemoryBytes, MaxFiles: s.MaxFiles,
		Loggers: lines,
	}
}

// seedPeerAddresses returns the seeds' addresses for traffic between hosts. All
// hosts use the same port for it.
func seedPeerAddresses(s platform.Settings) []id.HostID {
	_, port, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return nil
	}
	var hosts []id.HostID
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			hosts = append(hosts, id.HostID(net.JoinHostPort(host, port)))
		}
	}
	return hosts
}
