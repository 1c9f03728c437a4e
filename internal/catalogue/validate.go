package catalogue

import (
	"fmt"
	"time"
)

// Validate checks an entry without its references and returns every problem found.
func Validate(entry Entry) []Problem {
	v := &validator{ref: entry.Ref()}
	switch e := entry.(type) {
	case *Host:
		v.host(e)
	case *Service:
		v.service(e)
	case *Route:
		v.route(e)
	case *Customer:
		v.customer(e)
	case *Key:
		v.key(e)
	}
	return v.problems
}

// validator collects the problems of one entry.
type validator struct {
	ref      Ref
	problems []Problem
}

// add records a problem with a key.
func (v *validator) add(key, format string, args ...any) {
	v.problems = append(v.problems, Problem{Ref: v.ref, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// meta checks the common fields and the identifier.
func (v *validator) meta(m Meta, idKey, id string) {
	v.name(idKey, id)
	v.name("owner", m.Owner)
	v.name("class", m.Class)
}

// name checks an identifier.
func (v *validator) name(key, value string) {
	switch {
	case value == "":
		v.add(key, "is required")
	case len(value) > MaxNameLength:
		v.add(key, "is longer than %d bytes", MaxNameLength)
	case !isName(value):
		v.add(key, "%q has characters other than a-z, 0-9, '.', '_' and '-'", value)
	}
}

// isName reports whether the value consists of the characters of identifiers.
func isName(value string) bool {
	for _, c := range []byte(value) {
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !lower && !digit && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// host checks a host.
func (v *validator) host(h *Host) {
	v.meta(h.Meta, "id", string(h.ID))
	v.name("failure_domain", string(h.FailureDomain))
}

// service checks a service.
func (v *validator) service(s *Service) {
	v.meta(s.Meta, "name", string(s.Name))
	if !(s.MinHealthyFraction >= 0 && s.MinHealthyFraction <= 1) {
		v.add("min_healthy_fraction", "must be between 0 and 1")
	}
	v.within("queue_limit", int64(s.QueueLimit), 1, MaxQueueLimit)
	v.within("queue_limit_per_customer", int64(s.QueueLimitPerCustomer), 1, MaxQueueLimit)
	if s.QueueLimitPerCustomer > s.QueueLimit {
		v.add("queue_limit_per_customer", "is greater than queue_limit")
	}
	v.wholeMilliseconds("request_timeout", s.RequestTimeout)
	v.wholeMilliseconds("progress_timeout", s.ProgressTimeout)
	if s.RequestTimeout <= 0 || s.RequestTimeout > MaxRequestTimeout {
		v.add("request_timeout", "must be above 0 and at most %v", MaxRequestTimeout)
	}
	if s.ProgressTimeout <= 0 || s.ProgressTimeout > s.RequestTimeout {
		v.add("progress_timeout", "must be above 0 and at most request_timeout")
	}
	v.within("max_body_bytes", s.MaxBodyBytes, 0, MaxBodyBytesLimit)
}

// customer checks a customer.
func (v *validator) customer(c *Customer) {
	v.meta(c.Meta, "id", string(c.ID))
	if !(c.RatePerSecond > 0 && c.RatePerSecond <= MaxRatePerSecond) {
		v.add("rate_per_second", "must be above 0 and at most %g", float64(MaxRatePerSecond))
	}
	v.within("burst", int64(c.Burst), 1, MaxBurst)
	v.within("weight", int64(c.Weight), 1, MaxWeight)
}

// key checks a key.
func (v *validator) key(k *Key) {
	v.meta(k.Meta, "id", string(k.ID))
	v.name("customer", string(k.Customer))
	if k.Hash == (KeyHash{}) {
		v.add("hash", "is required")
	}
}

// wholeMilliseconds checks that a duration can be encoded without loss: its
// protobuf form counts milliseconds.
func (v *validator) wholeMilliseconds(key string, d time.Duration) {
	if d%time.Millisecond != 0 {
		v.add(key, "must be a whole number of milliseconds")
	}
}

// within checks an integer against inclusive bounds.
func (v *validator) within(key string, value, low, high int64) {
	if value < low || value > high {
		v.add(key, "must be between %d and %d", low, high)
	}
}
