package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/rs/zerolog"

	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

const (
	// settleTime lets grants and records spread before the load starts.
	settleTime = 3 * time.Second
	// slowPlatformMs is the delay of a slow platform in milliseconds.
	slowPlatformMs = 800
	// losingFraction is the part of writes whose response a losing platform drops.
	losingFraction = 0.3
	// idleConnections bounds the load's idle connections to one daemon.
	idleConnections = 512
)

// errUnknownEvent reports an event that names nothing known.
var errUnknownEvent = errors.New("event names no known target, mode, platform state or host")

// Run carries out an experiment.
func Run(ctx context.Context, spec Spec, log zerolog.Logger) (Result, error) {
	entries, err := ReadCatalogue(spec.Catalogue)
	if err != nil {
		return Result{}, err
	}
	plan, err := load.ReadPlan(spec.Load)
	if err != nil {
		return Result{}, err
	}
	plan.Seed = spec.Seed
	if spec.Duration > 0 {
		plan.Duration = spec.Duration
	}
	fleet, err := NewFleet(entries, log, nil)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	targets := 0
	for _, service := range servicesOf(entries) {
		for i, node := range fleet.Nodes[:min(spec.Targets.HostsPerService, len(fleet.Nodes))] {
			_, err := fleet.StartTarget(node, target.Config{
				Name:        string(service.Name) + "-" + string(node.Host.ID),
				Service:     service.Name,
				Slots:       spec.Targets.Slots,
				ServiceTime: spec.Targets.ServiceTime,
				ColdStart:   spec.Targets.ColdStart,
				CrashPath:   spec.Targets.CrashPath,
				Seed:        uint64(spec.Seed) + uint64(i),
			})
			if err != nil {
				return Result{}, err
			}
			targets++
		}
	}
	if err := fleet.AwaitReady(0); err != nil {
		return Result{}, err
	}
	if err := fleet.Apply(ctx, entries); err != nil {
		return Result{}, err
	}
	keys, err := fleet.IssueKeys(ctx, plan)
	if err != nil {
		return Result{}, err
	}
	if err := fleet.AwaitReady(targets); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	plan.Daemons = fleet.CallerURLs()
	return drive(ctx, spec, fleet, plan, keys)
}

// drive sends the load while the events happen.
func drive(ctx context.Context, spec Spec, fleet *Fleet, plan load.Plan, keys load.Keys) (Result, error) {
	watching, stop := context.WithCancel(ctx)
	defer stop()
	start := time.Now()
	w := newWatcher(fleet, start)
	go w.run(watching)
	failed := make(chan error, 1)
	go func() { failed <- events(watching, spec.Events, fleet, w, start) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer client.CloseIdleConnections()
	history, err := load.NewRunner(plan, keys, client).Run(ctx)
	if err != nil {
		return Result{}, err
	}
	stop()
	if err := <-failed; err != nil {
		return Result{}, err
	}
	detections, falsely := w.results()
	return Result{
		Name:           spec.Name,
		Seed:           spec.Seed,
		Summary:        load.Summarize(history),
		Verdict:        load.Check(history, fleet.Runs.Snapshot()),
		Detections:     detections,
		FalseEjections: falsely,
		CrashedTargets: crashedTargets(fleet),
		Series:         seriesOf(history),
	}, nil
}

// crashedTargets counts the targets that a request crashed.
func crashedTargets(fleet *Fleet) int {
	n := 0
	for _, t := range fleet.Targets {
		if t.Crashes() > 0 {
			n++
		}
	}
	return n
}

// events makes the events happen at their times.
func events(ctx context.Context, all []Event, fleet *Fleet, w *watcher, start time.Time) error {
	sorted := append([]Event(nil), all...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	for _, event := range sorted {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start.Add(event.At))):
		}
		if err := happen(event, fleet, w); err != nil {
			return err
		}
	}
	return nil
}

// happen makes one event happen.
func happen(event Event, fleet *Fleet, w *watcher) error {
	switch {
	case event.Target != "":
		return changeMode(event, fleet, w)
	case event.Platform != "":
		return changePlatform(event, fleet)
	case event.Stop != "":
		for _, node := range fleet.Nodes {
			if string(node.Host.ID) == event.Stop {
				return node.Stop()
			}
		}
	}
	return fault.New("run event", fmt.Sprintf("%+v", event), errUnknownEvent)
}

// changeMode changes the mode of one target, or of all targets of a service ("service/*").
func changeMode(event Event, fleet *Fleet, w *watcher) error {
	found := false
	for _, t := range fleet.Targets {
		if !matches(event.Target, t.Name()) {
			continue
		}
		found = true
		w.fault(t.Name(), event.Mode, event.Mode == string(target.Healthy))
		if err := t.SetMode(target.Mode(event.Mode)); err != nil {
			return err
		}
	}
	if !found {
		return fault.New("run event", event.Target, errUnknownEvent)
	}
	return nil
}

// matches reports whether a target's name matches a pattern with an optional "*" at its end.
func matches(pattern, name string) bool {
	if n := len(pattern); n > 0 && pattern[n-1] == '*' {
		return len(name) >= n-1 && name[:n-1] == pattern[:n-1]
	}
	return pattern == name
}

// changePlatform switches the platform's faults.
func changePlatform(event Event, fleet *Fleet) error {
	switch event.Platform {
	case "up":
		fleet.Platform.SetFaults(emulator.Faults{})
	case "down":
		fleet.Platform.SetFaults(emulator.Faults{Down: true})
	case "slow":
		fleet.Platform.SetFaults(emulator.Faults{DelayMs: slowPlatformMs})
	case "losing":
		fleet.Platform.SetFaults(emulator.Faults{LoseResponses: losingFraction})
	default:
		return fault.New("run event", event.Platform, errUnknownEvent)
	}
	return nil
}
