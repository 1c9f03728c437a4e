package hop

import (
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// decoder reads hop headers and keeps the first error.
type decoder struct {
	header http.Header
	err    error
}

// fail records a malformed header.
func (d *decoder) fail(name string) {
	if d.err == nil {
		d.err = &HeaderError{Header: name}
	}
}

// value returns the header's only value. It fails if the header is repeated, or required and missing.
func (d *decoder) value(name string, required bool) string {
	values := d.header[name]
	switch {
	case len(values) == 1:
		return values[0]
	case len(values) > 1 || required:
		d.fail(name)
	}
	return ""
}

// name reads a name of at most maxNameBytes without control characters.
func (d *decoder) name(header string, required bool) string {
	v := d.value(header, required)
	if (required && v == "") || len(v) > maxNameBytes || !plain(v, true) {
		d.fail(header)
		return ""
	}
	return v
}

// attempt reads an attempt id.
func (d *decoder) attempt(name string) id.AttemptID {
	a, err := id.ParseAttemptID(d.value(name, true))
	if err != nil {
		d.fail(name)
	}
	return a
}

// remaining reads the remaining time; at most MaxRemaining.
func (d *decoder) remaining() time.Duration {
	ms, err := strconv.ParseInt(d.value(HeaderRemaining, true), 10, 64)
	if err != nil || ms < 0 || ms > MaxRemaining.Milliseconds() {
		d.fail(HeaderRemaining)
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// clock reads a gate clock.
func (d *decoder) clock(name string) GateClock {
	g, err := ParseGateClock(d.value(name, true))
	if err != nil {
		d.fail(name)
	}
	return g
}

// uri reads the caller's request URI.
func (d *decoder) uri() string {
	v := d.value(HeaderURI, true)
	if !ValidURI(v) {
		d.fail(HeaderURI)
		return ""
	}
	return v
}
