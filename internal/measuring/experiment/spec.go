package experiment

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/tomlfile"
)

// Spec describes an experiment.
type Spec struct {
	Name string `toml:"name"`
	// Catalogue and Load are files, relative to the experiment's own.
	Catalogue string `toml:"catalogue"`
	Load      string `toml:"load"`
	// Duration overrides the load's duration.
	Duration time.Duration `toml:"duration"`
	Seed     int64         `toml:"seed"`
	Targets  Targets       `toml:"targets"`
	Events   []Event       `toml:"events"`
}

// Targets describes the emulated targets: one of every service on each of
// HostsPerService hosts, in roster order.
type Targets struct {
	HostsPerService int           `toml:"hosts_per_service"`
	Slots           int           `toml:"slots"`
	ServiceTime     time.Duration `toml:"service_time"`
	ColdStart       time.Duration `toml:"cold_start"`
	CrashPath       string        `toml:"crash_path"`
}

// Event is a fault or its end.
type Event struct {
	// At is the time since the start of the load.
	At time.Duration `toml:"at"`
	// Target and Mode change an emulated target, named service-host; a "*" at the end matches several.
	Target string `toml:"target"`
	Mode   string `toml:"mode"`
	// Platform is "down", "up", "slow" or "losing".
	Platform string `toml:"platform"`
	// Stop names a host whose daemon is stopped gracefully.
	Stop string `toml:"stop"`
}

// ReadSpec reads and checks an experiment file.
func ReadSpec(file string) (Spec, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return Spec{}, fault.New("read experiment", "", err)
	}
	spec := Spec{Seed: 1}
	positions, faults := tomlfile.Decode(file, document, &spec)
	fail := func(key, reason string) {
		faults = append(faults, tomlfile.Fault{File: file, Line: positions.Line(key), Key: key, Reason: reason})
	}
	if spec.Catalogue == "" {
		fail("catalogue", "required setting is missing")
	}
	if spec.Load == "" {
		fail("load", "required setting is missing")
	}
	if spec.Targets.HostsPerService < 1 || spec.Targets.Slots < 1 || spec.Targets.ServiceTime <= 0 {
		fail("targets", "hosts_per_service, slots and service_time must be above 0")
	}
	checkTimes(spec, fail)
	dir := filepath.Dir(file)
	spec.Catalogue = filepath.Join(dir, spec.Catalogue)
	spec.Load = filepath.Join(dir, spec.Load)
	return spec, faults.Err()
}

// checkTimes reports the times of an experiment that are negative.
func checkTimes(spec Spec, fail func(key, reason string)) {
	times := map[string]time.Duration{"duration": spec.Duration, "targets.cold_start": spec.Targets.ColdStart}
	for i, e := range spec.Events {
		times[fmt.Sprintf("events[%d].at", i)] = e.At
	}
	for _, key := range slices.Sorted(maps.Keys(times)) {
		if times[key] < 0 {
			fail(key, "must not be negative")
		}
	}
}
