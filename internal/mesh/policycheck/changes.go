package policycheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// none is how a missing value is printed.
const none = "none"

// Compare returns what differs between the configuration in force and the next one, sorted. Keys are counted and not named.
// The error is that of policy.Build.
func Compare(inForce, next policy.Document, env Environment) ([]Finding, error) {
	before, err := policy.Build(inForce)
	if err != nil {
		return nil, err
	}
	after, err := policy.Build(next)
	if err != nil {
		return nil, err
	}
	var found list
	// Daemons ignore a configuration whose version is not above the one that they know.
	if next.Version <= inForce.Version {
		found.add(Error, "version", "%d is not above the version in force, %d; daemons would not use the configuration", next.Version, inForce.Version)
	}
	c := comparison{list: &found, before: inForce, after: next, beforeIndex: before, afterIndex: after, env: env}
	c.routes()
	c.services()
	c.customers()
	c.bounds()
	if before.KeysRequired() != after.KeysRequired() {
		c.changed("customers", "key", needed(before.KeysRequired()), needed(after.KeysRequired()),
			either(after.KeysRequired(), "requests without a key are refused, unless their route is public", "requests need no key"))
	}
	return Sort(found), nil
}

// comparison compares two configurations.
type comparison struct {
	*list
	before, after           policy.Document
	beforeIndex, afterIndex *policy.Snapshot
	env                     Environment
}

// changed records that a value differs and what this means for requests. Equal values are no finding.
func (c *comparison) changed(item, field, before, after, meaning string) {
	if before != after {
		c.add(Change, item, "%s: %s -> %s: %s", field, before, after, meaning)
	}
}

// routes compares the routes.
func (c *comparison) routes() {
	before, after := indexed(c.before.Routes), indexed(c.after.Routes)
	for name, r := range before {
		if after[name] == nil {
			c.add(Change, routeItem(name), "removed: requests at %s %s", location(r), taker(c.afterIndex, r))
		}
	}
	for name, r := range after {
		old := before[name]
		if old == nil {
			c.add(Change, routeItem(name), "added: requests at %s go to %s; until now they %s",
				location(r), shares(r, c.after.Services), taker(c.beforeIndex, r))
			continue
		}
		c.route(old, r)
	}
}

// taker tells what becomes of requests at the location of a route under a configuration without the route.
func taker(s *policy.Snapshot, r *policy.Route) string {
	other := s.Match(r.Host, policy.CanonicalPrefix(r.Prefix))
	if other == nil {
		return "match no route and get 404"
	}
	return "match route " + string(other.ID)
}

// route compares one route.
func (c *comparison) route(before, after *policy.Route) {
	item := routeItem(after.ID)
	if from, to := location(before), location(after); from != to {
		c.changed(item, "host and prefix", from, to, "requests at the new place match this route, those at the old one "+taker(c.afterIndex, before))
	}
	c.split(item, before, after)
	c.changed(item, "type", runs(before), runs(after), either(after.Idempotent,
		"a request that failed may run again", "a request that may have run is not sent again"))
	c.changed(item, "public", strconv.FormatBool(before.Public), strconv.FormatBool(after.Public),
		either(after.Public, "requests of this route need no key", "requests of this route need a key where customers are in force"))
	c.changed(item, "priority", strconv.Itoa(before.Rank), strconv.Itoa(after.Rank), rankMeaning(before.Rank, after.Rank))
	c.changed(item, "timeout", duration(before.Timeout), duration(after.Timeout), either(c.env.timeout(after) > c.env.timeout(before),
		"requests may take longer before they end without an answer",
		either(c.env.timeout(after) == c.env.timeout(before), "the default is the same, so nothing changes", "requests end earlier without an answer")))
	c.changed(item, "latency objective", duration(before.Objective), duration(after.Objective), either(longer(before.Objective, after.Objective),
		"answers count as late after a longer time", "answers count as late after a shorter time"))
	c.changed(item, "max_attempts", strconv.Itoa(max(before.MaxAttempts, 1)), strconv.Itoa(max(after.MaxAttempts, 1)), either(!after.Idempotent,
		"no effect, since requests run at most once",
		either(after.MaxAttempts > before.MaxAttempts, "a request that failed may reach more targets", "a request that failed reaches fewer targets")))
	c.regions(item, before.Regions, after.Regions, "this route")
	// A route without services is unservable for that reason, which the comparison of the services tells.
	if shares(before, c.before.Services) != none && shares(after, c.after.Services) != none {
		c.served(item, unservable(c.beforeIndex, before), unservable(c.afterIndex, after), "this route")
	}
}

// unservable returns why the requests at the location of a route are refused; empty if they are not.
func unservable(s *policy.Snapshot, r *policy.Route) string {
	return s.Match(r.Host, policy.CanonicalPrefix(r.Prefix)).Unservable
}

// split compares the services of a route, as shares of its requests.
func (c *comparison) split(item string, before, after *policy.Route) {
	old, _ := usable(before, c.before.Services)
	now, _ := usable(after, c.after.Services)
	meaning := "requests of this route are divided among its services in other shares"
	shared := slices.ContainsFunc(now, func(part policy.WeightedService) bool {
		return slices.ContainsFunc(old, func(o policy.WeightedService) bool { return o.Service == part.Service })
	})
	switch {
	case len(now) == 0:
		meaning = "requests of this route are refused"
	case len(old) == 0:
		meaning = "requests of this route, which were refused, are served"
	case !shared:
		meaning = "requests of this route go to another service"
	}
	c.changed(item, "services", shares(before, c.before.Services), shares(after, c.after.Services), meaning)
}

// regions compares lists of allowed regions.
func (c *comparison) regions(item string, before, after policy.Regions, whose string) {
	meaning := "requests of " + whose + " go only to hosts in the new list"
	switch {
	case !after.Limited():
		meaning = "requests of " + whose + " may go to hosts in every region"
	case after.None():
		meaning = "requests of " + whose + " are refused"
	}
	c.changed(item, "allowed regions", regionNames(before), regionNames(after), meaning)
}

// served compares whether requests are refused because a value cannot be read.
func (c *comparison) served(item, before, after, whose string) {
	c.changed(item, "served", cmp.Or(before, "yes"), cmp.Or(after, "yes"),
		either(after == "", "requests of "+whose+" are no longer refused", "requests of "+whose+" are refused"))
}

// services compares the services and their warm-up.
func (c *comparison) services() {
	for _, name := range c.before.Services {
		if !slices.Contains(c.after.Services, name) {
			c.add(Change, "service "+name, "removed: no route sends requests to it")
		}
	}
	for _, name := range c.after.Services {
		item := "service " + name
		if !slices.Contains(c.before.Services, name) {
			c.add(Change, item, "added: routes may send requests to it")
			continue
		}
		before, after := warmUpOf(c.before, name), warmUpOf(c.after, name)
		c.changed(item, "warm-up", warmUpText(before), warmUpText(after),
			"targets that have just started get requests at the new rate for the new time")
	}
}

// warmUpOf returns how the targets of a service are after their start.
func warmUpOf(d policy.Document, service string) policy.WarmUp {
	return d.WarmUps[id.ServiceName(service)]
}

// customers compares the customers.
func (c *comparison) customers() {
	before, after := c.beforeIndex.Customers(), c.afterIndex.Customers()
	for name, old := range before {
		if after[name] == nil {
			c.add(Change, customerItem(name), "removed: its %d keys no longer belong to it", len(unique(old.Keys)))
		}
	}
	for name, customer := range after {
		if old := before[name]; old != nil {
			c.customer(old, customer)
			continue
		}
		c.add(Change, customerItem(name), "added: requests with its %d keys belong to it", len(unique(customer.Keys)))
	}
}

// customer compares one customer.
func (c *comparison) customer(before, after *policy.Customer) {
	item := customerItem(after.ID)
	old, now := unique(before.Keys), unique(after.Keys)
	added, removed := missing(now, old), missing(old, now)
	if added+removed > 0 {
		c.add(Change, item, "keys: %d -> %d: %d added, %d removed; requests with a removed key no longer belong to it", len(old), len(now), added, removed)
	}
	c.changed(item, "priority", customerRank(before), customerRank(after), "requests of this customer are ranked otherwise under overload")
	c.regions(item, before.Regions, after.Regions, "this customer")
	c.served(item, before.Unservable, after.Unservable, "this customer")
	if before.Unservable != "" || after.Unservable != "" {
		return
	}
	c.changed(item, "rate", rateText(before), rateText(after), either(looser(before, after),
		"more requests of this customer are admitted", "fewer requests of this customer are admitted"))
	if before.Limited() && after.Limited() {
		c.changed(item, "burst", strconv.Itoa(before.Burst), strconv.Itoa(after.Burst), either(after.Burst > before.Burst,
			"more requests of this customer may come at once", "fewer requests of this customer may come at once"))
	}
}

// bounds compares the limits on what callers may send.
func (c *comparison) bounds() {
	const item = "limits"
	before, after := c.before.Bounds, c.after.Bounds
	c.changed(item, "body limit in bytes", size(before.BodyBytes), size(after.BodyBytes), either(longer(before.BodyBytes, after.BodyBytes),
		"requests with larger bodies are accepted", "requests with smaller bodies than before are refused"))
	c.changed(item, "idle timeout", duration(before.IdleTimeout), duration(after.IdleTimeout),
		"connections are closed, and callers that pause in a body are refused, after the new time")
	c.changed(item, "header limit in bytes", size(int64(before.HeaderBytes)), size(int64(after.HeaderBytes)),
		fmt.Sprintf("requests with headers of more than %d bytes are refused", cmp.Or(after.HeaderBytes, c.env.HeaderBytes)))
	c.changed(item, "header timeout", duration(before.HeaderTimeout), duration(after.HeaderTimeout),
		"connections are closed if a header takes longer than the new time")
}

// indexed returns the routes by name.
func indexed(routes []policy.Route) map[id.RouteID]*policy.Route {
	index := make(map[id.RouteID]*policy.Route, len(routes))
	for i := range routes {
		index[routes[i].ID] = &routes[i]
	}
	return index
}

// either returns one of two values.
func either(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// longer reports whether a limit is raised, where zero means no limit.
func longer[T time.Duration | int64](before, after T) bool {
	return before != 0 && (after == 0 || after > before)
}

// looser reports whether a customer's rate is raised.
func looser(before, after *policy.Customer) bool {
	return before.Limited() && (!after.Limited() || after.RatePerSecond > before.RatePerSecond)
}

// rankMeaning tells what a changed priority means.
func rankMeaning(before, after int) string {
	return "requests of this route are " + either(after < before, "more", "less") + " urgent under overload"
}

// shares returns the services of a route that get requests, with their shares.
func shares(r *policy.Route, services []string) string {
	parts, total := usable(r, services)
	if len(parts) == 0 {
		return none
	}
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, fmt.Sprintf("%s %v %%", part.Service, math.Round(part.Weight/total*1e4)/100))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

// runs tells how often a request of a route may run.
func runs(r *policy.Route) string {
	return either(r.Idempotent, "idempotent", "at most once")
}

// needed tells whether a key is needed.
func needed(keys bool) string { return either(keys, "needed", "not needed") }

// duration returns a duration, of which zero means none.
func duration(d time.Duration) string {
	if d == 0 {
		return none
	}
	return d.String()
}

// size returns a number of bytes, of which zero means no limit.
func size(n int64) string {
	if n == 0 {
		return none
	}
	return strconv.FormatInt(n, 10)
}

// regionNames returns the allowed regions.
func regionNames(r policy.Regions) string {
	switch {
	case !r.Limited():
		return "all"
	case r.None():
		return none
	}
	return strings.Join(unique(r.Names()), ", ")
}

// customerRank returns the priority of a customer.
func customerRank(c *policy.Customer) string {
	if !c.HasRank {
		return "that of the route"
	}
	return strconv.Itoa(c.Rank)
}

// rateText returns the rate of a customer.
func rateText(c *policy.Customer) string {
	if !c.Limited() {
		return "no limit"
	}
	return fmt.Sprintf("%v a second", c.RatePerSecond)
}

// warmUpText returns a warm-up.
func warmUpText(w policy.WarmUp) string {
	if w == (policy.WarmUp{}) {
		return none
	}
	return fmt.Sprintf("%v a second for %v", w.PerSecond, w.Time)
}

// unique returns the different texts, sorted.
func unique(texts []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(texts)))
}

// missing returns how many of the texts are not among others, which are sorted.
func missing(texts, others []string) int {
	n := 0
	for _, text := range texts {
		if _, found := slices.BinarySearch(others, text); !found {
			n++
		}
	}
	return n
}
