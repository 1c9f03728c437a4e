package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/daemon"
	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

const (
	// anyPort lets the operating system choose a loopback port.
	anyPort = "127.0.0.1:0"
	// operatorName and operatorToken are the credential of a fleet's own operator.
	operatorName  = "experiment"
	operatorToken = "experiment-operator-token"
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 15 * time.Second
	// readyPoll is the time between two looks at a starting fleet.
	readyPoll = 20 * time.Millisecond
)

// errNotReady reports a fleet that did not start in time.
var errNotReady = errors.New("fleet is not ready in time")

// Fleet is a fleet on loopback in this process.
type Fleet struct {
	Platform *emulator.Server
	Nodes    []*Node
	Runs     *target.Runs
	Targets  []*target.Target

	log          zerolog.Logger
	settings     func(*settings.Settings)
	platformAddr string
	groups       []string
	// revision is the last change that the fleet's own operator made.
	revision catalogue.Revision
	cancel   context.CancelFunc
	context  context.Context
	wait     sync.WaitGroup
}

// Node is one daemon of a fleet.
type Node struct {
	Host   *catalogue.Host
	Daemon *daemon.Daemon
	// secure says that callers and operators use TLS.
	secure bool
	// operator carries the calls of the fleet's own operator.
	operator *http.Transport
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// Stop ends the daemon gracefully and returns its result.
func (n *Node) Stop() error {
	n.stop()
	<-n.done
	return n.err
}

// NewFleet starts the platform emulator and one daemon for each host among the
// entries. adjust, which may be nil, changes the settings of every daemon.
func NewFleet(entries []catalogue.Entry, log zerolog.Logger, adjust func(*settings.Settings)) (*Fleet, error) {
	f := &Fleet{Runs: target.NewRuns(), log: log, settings: adjust, groups: groupsOf(entries)}
	f.context, f.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fault.New("listen for platform", anyPort, err)
	}
	f.platformAddr = listener.Addr().String()
	f.Platform = emulator.New(platform.NewMemory(), 1)
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		_ = f.Platform.Serve(f.context, listener)
	}()
	for _, host := range hostsOf(entries) {
		if _, err := f.StartNode(host); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// StartNode starts a daemon on a host slot, also again after a stop.
func (f *Fleet) StartNode(host *catalogue.Host) (*Node, error) {
	s := f.settingsOf(host)
	transport, err := newTransport(s.TLS)
	if err != nil {
		return nil, err
	}
	d := daemon.New(s, f.log.With().Str("host", string(host.ID)).Logger())
	if err := d.Provision(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(f.context)
	node := &Node{
		Host:     host,
		Daemon:   d,
		secure:   s.TLS.Enabled(),
		operator: transport,
		stop:     stop,
		done:     make(chan struct{}),
	}
	f.Nodes = append(f.Nodes, node)
	go func() {
		defer close(node.done)
		defer d.Cleanup()
		node.err = d.Run(ctx)
	}()
	return node, nil
}

// settingsOf returns the settings of a host's daemon.
func (f *Fleet) settingsOf(host *catalogue.Host) settings.Settings {
	s := settings.Default()
	s.Host = settings.Host{Name: string(host.ID), FailureDomain: string(host.FailureDomain)}
	s.Listen = settings.Listen{Caller: anyPort, Peer: anyPort, Local: anyPort, Admin: anyPort}
	s.Platform.Address = "http://" + f.platformAddr
	s.Timeouts.DrainGrace = 0
	hash := sha256.Sum256([]byte(operatorToken))
	s.Operators = []settings.Operator{{Name: operatorName, TokenHash: hex.EncodeToString(hash[:]), Groups: f.groups}}
	if f.settings != nil {
		f.settings(&s)
	}
	return s
}

// groupsOf returns the owner groups of the entries.
func groupsOf(entries []catalogue.Entry) []string {
	seen := make(map[string]bool)
	var groups []string
	for _, entry := range entries {
		owner := entry.Common().Owner
		if !seen[owner] {
			seen[owner] = true
			groups = append(groups, owner)
		}
	}
	return groups
}

// StartTarget starts an emulated target on a node's host.
func (f *Fleet) StartTarget(node *Node, config target.Config) (*target.Target, error) {
	config.Listen = anyPort
	config.Announce = node.Daemon.Addresses().Local
	t := target.New(config, f.Runs)
	if err := t.Listen(); err != nil {
		return nil, err
	}
	f.Targets = append(f.Targets, t)
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		t.Run(f.context)
	}()
	return t, nil
}

// CallerURLs returns the base URLs of all daemons.
func (f *Fleet) CallerURLs() []string {
	var urls []string
	for _, node := range f.Nodes {
		urls = append(urls, node.url(node.Daemon.Addresses().Caller))
	}
	return urls
}

// AwaitReady waits until every daemon is ready, has the last change of Apply and
// IssueKeys, and sees the given number of targets.
func (f *Fleet) AwaitReady(targets int) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if f.ready(targets) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	var states []string
	for _, node := range f.Nodes {
		states = append(states, fmt.Sprintf("%+v", node.Daemon.Status()))
	}
	return fmt.Errorf("%w: %s", errNotReady, strings.Join(states, "; "))
}

// ready reports whether every daemon is ready.
func (f *Fleet) ready(targets int) bool {
	for _, node := range f.Nodes {
		status := node.Daemon.Status()
		if !status.Ready || status.KnownTargets < targets || status.Revision < f.revision {
			return false
		}
	}
	return true
}

// Close ends the whole fleet.
func (f *Fleet) Close() {
	f.cancel()
	for _, node := range f.Nodes {
		<-node.done
		node.operator.CloseIdleConnections()
	}
	f.wait.Wait()
	http.DefaultClient.CloseIdleConnections()
}
