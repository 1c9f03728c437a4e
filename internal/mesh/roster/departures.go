package roster

import (
	"net/url"
	"strconv"
	"strings"
)

// Departures lists the targets of a host whose leaving was acknowledged, oldest first, in the form in which the record holds them:
// "START:ID" for one start of a target, and "-START:ID" for all starts of an id up to that time.
type Departures string

// maxDepartures bounds the list. A target that has dropped out of it started earlier than those that are listed.
const maxDepartures = 8

// untilMark is put before an entry that holds for all starts up to a time.
const untilMark = "-"

// With adds the departure of one start of a target.
func (d Departures) With(t TargetIncarnation) Departures {
	return d.with(strconv.FormatInt(t.StartedMS, 10) + ":" + url.QueryEscape(t.ID))
}

// WithAllUntil adds the departure of all starts of a target until a time in Unix milliseconds, for a leaving that does not tell the
// start time.
func (d Departures) WithAllUntil(target string, untilMS int64) Departures {
	return d.with(untilMark + strconv.FormatInt(untilMS, 10) + ":" + url.QueryEscape(target))
}

// Union adds the departures of another list.
func (d Departures) Union(other Departures) Departures {
	for _, entry := range other.entries() {
		d = d.with(entry)
	}
	return d
}

// with adds an entry unless it is listed.
func (d Departures) with(entry string) Departures {
	entries := d.entries()
	for _, known := range entries {
		if known == entry {
			return d
		}
	}
	entries = append(entries, entry)
	return Departures(strings.Join(entries[max(len(entries)-maxDepartures, 0):], " "))
}

// entries returns the entries.
func (d Departures) entries() []string { return strings.Fields(string(d)) }

// Contains reports whether the leaving of a start of a target is listed. Entries that cannot be read are skipped.
func (d Departures) Contains(t TargetIncarnation) bool {
	for _, entry := range d.entries() {
		rest, until := strings.CutPrefix(entry, untilMark)
		start, name, _ := strings.Cut(rest, ":")
		startedMS, err := strconv.ParseInt(start, 10, 64)
		target, nameErr := url.QueryUnescape(name)
		if err != nil || nameErr != nil || target != t.ID {
			continue
		}
		if t.StartedMS == startedMS || (until && t.StartedMS < startedMS) {
			return true
		}
	}
	return false
}
