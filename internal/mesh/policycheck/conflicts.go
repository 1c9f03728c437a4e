package policycheck

import "buckthornlatch.example/buckthornlatch/internal/mesh/policy"

// conflicts finds limits that contradict each other or have no effect.
func (l *list) conflicts(d policy.Document, env Environment) {
	repeats, urgent := false, 0
	for i := range d.Routes {
		r := &d.Routes[i]
		l.routeLimits(r, env)
		repeats = repeats || r.Idempotent && r.MaxAttempts > 1
		if r.Rank == 0 {
			urgent++
		}
	}
	if urgent > 1 && urgent == len(d.Routes) {
		l.add(Conflict, "routes", "all %d routes have the most urgent priority 0, so that none precedes another under overload", urgent)
	}
	for i := range d.Customers {
		l.rate(&d.Customers[i])
	}
	for _, name := range d.Services {
		l.warmUp(name, d)
	}
	l.bounds(d, env, repeats)
}

// routeLimits finds contradictions in one route.
func (l *list) routeLimits(r *policy.Route, env Environment) {
	item, timeout := routeItem(r.ID), env.timeout(r)
	if r.Objective > timeout {
		l.add(Conflict, item, "the latency objective %v is above the timeout %v, so that every answer in time meets it", r.Objective, timeout)
	}
	if !r.Idempotent && r.MaxAttempts > 1 {
		l.add(Conflict, item, "max_attempts %d has no effect, since its requests run at most once", r.MaxAttempts)
	}
	if s := env.Settings; s != nil && timeout > s.GracePeriod {
		l.add(Conflict, item, "the timeout %v is above the grace period %v of the settings; a planned stop may end its requests", timeout, s.GracePeriod)
	}
}

// rate finds contradictions in a customer's rate limit. The burst is a whole number, so that one below 1 is 0.
func (l *list) rate(c *policy.Customer) {
	switch {
	case c.Unservable != "":
	case c.RatePerSecond > 0 && c.Burst < 1:
		l.add(Conflict, customerItem(c.ID), "the rate is %v a second but the burst is below 1, so that no request is admitted", c.RatePerSecond)
	case c.RatePerSecond == 0 && c.Burst > 0:
		l.add(Conflict, customerItem(c.ID), "the burst %d has no effect, since a rate of 0 means no limit", c.Burst)
	}
}

// warmUp finds a rate for cold targets of a service whose targets are never cold.
func (l *list) warmUp(service string, d policy.Document) {
	if w := warmUpOf(d, service); w.PerSecond > 0 && w.Time <= 0 {
		l.add(Conflict, "service "+service, "warmup_per_s %v has no effect without warmup_s", w.PerSecond)
	}
}

// bounds finds contradictions in the limits on what callers may send. repeats tells whether a route may send a request again.
func (l *list) bounds(d policy.Document, env Environment, repeats bool) {
	const item = "limits"
	b := d.Bounds
	for _, name := range d.ZeroBounds {
		l.add(Conflict, item, "%s is 0, which counts as missing", name)
	}
	if b.HeaderBytes > env.HeaderBytes {
		l.add(Conflict, item, "the header limit of %d bytes is above the %d bytes that daemons accept from each other", b.HeaderBytes, env.HeaderBytes)
	}
	if repeats && b.BodyBytes > env.BodyBytes {
		l.add(Conflict, item, "the body limit of %d bytes is above the %d bytes that a daemon holds; requests with longer bodies are sent once, whatever max_attempts says",
			b.BodyBytes, env.BodyBytes)
	}
	if b.IdleTimeout > 0 && b.HeaderTimeout > b.IdleTimeout {
		l.add(Conflict, item, "the header timeout %v is above the idle timeout %v", b.HeaderTimeout, b.IdleTimeout)
	}
}
