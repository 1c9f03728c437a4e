package policycheck_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policycheck"
)

// environment has two regions, a grace period of 20 s and a default timeout of 15 s.
func environment() policycheck.Environment {
	return policycheck.Environment{
		Settings:    &policycheck.Settings{Regions: []string{"north", "south", ""}, GracePeriod: 20 * time.Second},
		HeaderBytes: 64 << 10, BodyBytes: 64 << 10, DefaultTimeout: 15 * time.Second,
	}
}

// clean returns a configuration without findings.
func clean() policy.Document {
	split := func(services ...policy.WeightedService) []policy.WeightedService { return services }
	return policy.Document{
		Version: 7, Services: []string{"a", "b"}, KeysRequired: true,
		WarmUps: map[id.ServiceName]policy.WarmUp{"a": {Time: 10 * time.Second, PerSecond: 5}},
		Routes: []policy.Route{
			{
				ID: "one", Host: "h", Prefix: "/one/", Idempotent: true, MaxAttempts: 3, Timeout: 8 * time.Second, Objective: 2 * time.Second,
				Services: split(policy.WeightedService{Service: "a", Weight: 90}, policy.WeightedService{Service: "b", Weight: 10}),
				Regions:  policy.OnlyRegions("north", "south"),
			},
			{ID: "two", Host: "h", Prefix: "/two/", Rank: 1, MaxAttempts: 1, Objective: 3 * time.Second, Services: split(policy.WeightedService{Service: "b", Weight: 1})},
		},
		Customers: []policy.Customer{
			{ID: "c", Keys: []string{"key-1", "key-2"}, RatePerSecond: 5, Burst: 10, Regions: policy.OnlyRegions("north")},
			{ID: "free", Keys: []string{"key-3"}},
		},
		Bounds: policy.Bounds{HeaderBytes: 16 << 10, BodyBytes: 64 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// edit changes a configuration.
type edit func(d *policy.Document)

// lines returns findings as they are printed.
func lines(findings []policycheck.Finding) []string {
	texts := []string{}
	for _, f := range findings {
		texts = append(texts, f.String())
	}
	return texts
}

var _ = Describe("Check", func() {
	// Guards against hints that operators learn to ignore because sound configurations have them.
	It("finds nothing in a clean configuration", func() {
		Expect(policycheck.Check(clean(), environment())).To(BeEmpty())
		Expect(policycheck.Check(policy.Document{Version: 1}, policycheck.Environment{})).To(BeEmpty())
	})

	It("fails without a version", func() {
		_, err := policycheck.Check(policy.Document{}, environment())
		Expect(err).To(HaveOccurred())
	})

	// Each entry makes one mistake in the clean configuration and guards against a check that misses it or tells more.
	DescribeTable("finds",
		func(change edit, want ...string) {
			d := clean()
			change(&d)
			found, err := policycheck.Check(d, environment())
			Expect(err).NotTo(HaveOccurred())
			Expect(lines(found)).To(Equal(want))
		},
		Entry("a warning of the decoder", func(d *policy.Document) { d.Warnings = []policy.Warning{{Item: "route x", Reason: "left out"}} },
			"error: route x: left out"),
		Entry("a route whose services are all unknown", func(d *policy.Document) { d.Routes[1].Services[0].Service = "x" },
			`error: route two: no usable service has a weight; not served`, `error: route two: service "x" is unknown; left out`),
		Entry("a route without a weight", func(d *policy.Document) { d.Routes[1].Services[0].Weight = 0 },
			`error: route two: no usable service has a weight; not served`, `never matches: route two: service "b" has weight 0 and gets no request`),
		Entry("an impossible weight", func(d *policy.Document) { d.Routes[0].Services[1].Weight = math.NaN() },
			`error: route one: the weight of service "b" is NaN; left out`),
		Entry("a route that another one shadows", func(d *policy.Document) { d.Routes[1].Host, d.Routes[1].Prefix = "H:80", "/one/" },
			"error: route two: has the host and prefix of route one; neither is served",
			"never matches: route one: route two has the same host and prefix h/one/; neither is served"),
		Entry("a route whose prefix is the same with its slashes", func(d *policy.Document) { d.Routes[1].Prefix = "one" },
			"error: route two: has the host and prefix of route one; neither is served",
			`error: route two: prefix "one" does not begin and end with a slash; not served`,
			"never matches: route one: route two has the same host and prefix h/one/; neither is served"),
		Entry("a prefix with a query", func(d *policy.Document) { d.Routes[1].Prefix = "/two?x=/" },
			`never matches: route two: prefix "/two?x=/" has characters that the path of a request cannot have`),
		Entry("a prefix with a space", func(d *policy.Document) { d.Routes[1].Prefix = "/t wo/" },
			`never matches: route two: prefix "/t wo/" has characters that the path of a request cannot have`),
		Entry("a customer without keys", func(d *policy.Document) { d.Customers[1].Keys = nil },
			"never matches: customer free: it has no key, so that no request belongs to it"),
		Entry("a service that no route uses", func(d *policy.Document) { d.Services = append(d.Services, "spare") },
			"never matches: service spare: no route uses it"),
		Entry("a part with weight 0", func(d *policy.Document) { d.Routes[0].Services[1].Weight = 0 },
			`never matches: route one: service "b" has weight 0 and gets no request`),
		Entry("a region without a failure domain", func(d *policy.Document) { d.Routes[0].Regions = policy.OnlyRegions("north", "", "west") },
			`never matches: route one: no failure domain of the settings is in the allowed region ""`,
			`never matches: route one: no failure domain of the settings is in the allowed region "west"`),
		Entry("an empty list of regions", func(d *policy.Document) { d.Customers[0].Regions = policy.OnlyRegions() },
			"never matches: customer c: its list of allowed regions is empty, so that its requests are refused"),
		Entry("a customer and a route without a common region", func(d *policy.Document) { d.Routes[0].Regions = policy.OnlyRegions("south") },
			"never matches: customer c: no region is allowed to both it and route one; its requests there are refused"),
		Entry("a customer and a route whose common region has no failure domain", func(d *policy.Document) {
			d.Routes[0].Regions, d.Customers[0].Regions = policy.OnlyRegions("south", "west"), policy.OnlyRegions("west", "north")
		},
			`never matches: customer c: no failure domain of the settings is in a region that is allowed to both it and route one; its requests there are refused`,
			`never matches: customer c: no failure domain of the settings is in the allowed region "west"`,
			`never matches: route one: no failure domain of the settings is in the allowed region "west"`),
		Entry("an objective above the timeout", func(d *policy.Document) { d.Routes[0].Objective = 9 * time.Second },
			"conflict: route one: the latency objective 9s is above the timeout 8s, so that every answer in time meets it"),
		Entry("an objective above the default timeout", func(d *policy.Document) { d.Routes[1].Objective = 16 * time.Second },
			"conflict: route two: the latency objective 16s is above the timeout 15s, so that every answer in time meets it"),
		Entry("attempts of requests that run once", func(d *policy.Document) { d.Routes[1].MaxAttempts = 2 },
			"conflict: route two: max_attempts 2 has no effect, since its requests run at most once"),
		Entry("a rate without a burst", func(d *policy.Document) { d.Customers[0].Burst = 0 },
			"conflict: customer c: the rate is 5 a second but the burst is below 1, so that no request is admitted"),
		Entry("a burst without a rate", func(d *policy.Document) { d.Customers[0].RatePerSecond = 0 },
			"conflict: customer c: the burst 10 has no effect, since a rate of 0 means no limit"),
		Entry("a limit of 0", func(d *policy.Document) {
			d.Bounds.BodyBytes, d.ZeroBounds = 0, []string{"max_body_bytes"}
		}, "conflict: limits: max_body_bytes is 0, which counts as missing"),
		Entry("a header limit above that of the daemon", func(d *policy.Document) { d.Bounds.HeaderBytes = 64<<10 + 1 },
			"conflict: limits: the header limit of 65537 bytes is above the 65536 bytes that daemons accept from each other"),
		Entry("a body limit above what a daemon holds", func(d *policy.Document) { d.Bounds.BodyBytes = 64<<10 + 1 },
			"conflict: limits: the body limit of 65537 bytes is above the 65536 bytes that a daemon holds; requests with longer bodies are sent once, whatever max_attempts says"),
		Entry("a header timeout above the idle timeout", func(d *policy.Document) { d.Bounds.HeaderTimeout = 16 * time.Second },
			"conflict: limits: the header timeout 16s is above the idle timeout 15s"),
		Entry("a warm-up without its time", func(d *policy.Document) { d.WarmUps["a"] = policy.WarmUp{PerSecond: 5} },
			"conflict: service a: warmup_per_s 5 has no effect without warmup_s"),
		Entry("the most urgent rank for all routes", func(d *policy.Document) { d.Routes[1].Rank = 0 },
			"conflict: routes: all 2 routes have the most urgent priority 0, so that none precedes another under overload"),
		Entry("a timeout above the grace period", func(d *policy.Document) { d.Routes[0].Timeout = 21 * time.Second },
			"conflict: route one: the timeout 21s is above the grace period 20s of the settings; a planned stop may end its requests"),
	)

	// Guards against hints about regions and grace periods that the check does not know.
	It("leaves out what needs the settings if there are none", func() {
		d, env := clean(), environment()
		d.Routes[0].Timeout, d.Routes[0].Regions = time.Hour, policy.OnlyRegions("north", "west")
		env.Settings = nil
		Expect(policycheck.Check(d, env)).To(BeEmpty())
	})

	// Guards against a hint about a customer on a route whose requests belong to no customer.
	It("does not compare the regions of customers with those of public routes", func() {
		d := clean()
		d.Routes[0].Regions, d.Routes[0].Public = policy.OnlyRegions("south"), true
		Expect(policycheck.Check(d, environment())).To(BeEmpty())
	})

	// Guards against a hint about long bodies where nothing is sent again.
	It("permits long bodies if no route repeats requests", func() {
		d := clean()
		d.Bounds.BodyBytes, d.Routes[0].MaxAttempts = 1<<30, 1
		Expect(policycheck.Check(d, environment())).To(BeEmpty())
	})
})

var _ = Describe("Compare", func() {
	// Guards against changes that are reported for values that daemons treat alike.
	It("finds nothing where daemons would do the same", func() {
		before, after := clean(), clean()
		after.Version++
		after.Routes[0].Host = "H:80"
		after.Routes[0].Services = []policy.WeightedService{{Service: "b", Weight: 1}, {Service: "a", Weight: 9}}
		after.Routes[1].MaxAttempts = 0
		after.Customers[0].Keys = []string{"key-2", "key-1", "key-1"}
		Expect(policycheck.Compare(before, after, environment())).To(BeEmpty())
	})

	It("fails without a version", func() {
		_, err := policycheck.Compare(policy.Document{}, clean(), environment())
		Expect(err).To(HaveOccurred())
		_, err = policycheck.Compare(clean(), policy.Document{}, environment())
		Expect(err).To(HaveOccurred())
	})

	// Each entry guards against a change that is sent unseen or explained wrongly.
	DescribeTable("finds",
		func(change edit, want ...string) {
			after := clean()
			after.Version++
			change(&after)
			found, err := policycheck.Compare(clean(), after, environment())
			Expect(err).NotTo(HaveOccurred())
			Expect(lines(found)).To(Equal(want))
		},
		Entry("a version that is not newer", func(d *policy.Document) { d.Version = 7 },
			"error: version: 7 is not above the version in force, 7; daemons would not use the configuration"),
		Entry("an added route", func(d *policy.Document) {
			d.Routes = append(d.Routes, policy.Route{
				ID: "three", Host: "h", Prefix: "/two/three/", MaxAttempts: 1, Services: []policy.WeightedService{{Service: "a", Weight: 1}},
			})
		}, "change: route three: added: requests at h/two/three/ go to a 100 %; until now they match route two"),
		Entry("a removed route", func(d *policy.Document) { d.Routes = d.Routes[:1] },
			"change: route two: removed: requests at h/two/ match no route and get 404"),
		Entry("a place", func(d *policy.Document) { d.Routes[1].Prefix = "/2/" },
			"change: route two: host and prefix: h/two/ -> h/2/: requests at the new place match this route, those at the old one match no route and get 404"),
		Entry("another service", func(d *policy.Document) { d.Routes[1].Services[0].Service = "a" },
			"change: route two: services: b 100 % -> a 100 %: requests of this route go to another service"),
		Entry("other shares", func(d *policy.Document) { d.Routes[0].Services[1].Weight = 30 },
			"change: route one: services: a 90 %, b 10 % -> a 75 %, b 25 %: requests of this route are divided among its services in other shares"),
		Entry("no service", func(d *policy.Document) { d.Routes[1].Services[0].Service = "x" },
			"change: route two: services: b 100 % -> none: requests of this route are refused"),
		Entry("a type", func(d *policy.Document) { d.Routes[1].Idempotent = true },
			"change: route two: type: at most once -> idempotent: a request that failed may run again"),
		Entry("a public route", func(d *policy.Document) { d.Routes[1].Public = true },
			"change: route two: public: false -> true: requests of this route need no key"),
		Entry("a priority", func(d *policy.Document) { d.Routes[0].Rank = 2 },
			"change: route one: priority: 0 -> 2: requests of this route are less urgent under overload"),
		Entry("a timeout", func(d *policy.Document) { d.Routes[0].Timeout = 0 },
			"change: route one: timeout: 8s -> none: requests may take longer before they end without an answer"),
		Entry("a timeout that was the default", func(d *policy.Document) { d.Routes[1].Timeout = 15 * time.Second },
			"change: route two: timeout: none -> 15s: the default is the same, so nothing changes"),
		Entry("an objective", func(d *policy.Document) { d.Routes[0].Objective = time.Second },
			"change: route one: latency objective: 2s -> 1s: answers count as late after a shorter time"),
		Entry("attempts", func(d *policy.Document) { d.Routes[0].MaxAttempts = 2 },
			"change: route one: max_attempts: 3 -> 2: a request that failed reaches fewer targets"),
		Entry("regions of a route", func(d *policy.Document) { d.Routes[0].Regions = policy.Regions{} },
			"change: route one: allowed regions: north, south -> all: requests of this route may go to hosts in every region"),
		Entry("a route that is refused", func(d *policy.Document) { d.Routes[1].Unservable = "allowed_regions cannot be read" },
			"change: route two: served: yes -> allowed_regions cannot be read: requests of this route are refused"),
		Entry("services", func(d *policy.Document) { d.Services = []string{"a", "b", "new"} },
			"change: service new: added: routes may send requests to it"),
		Entry("a removed service", func(d *policy.Document) { d.Services = d.Services[:1] },
			"change: route one: services: a 90 %, b 10 % -> a 100 %: requests of this route are divided among its services in other shares",
			"change: route two: services: b 100 % -> none: requests of this route are refused",
			"change: service b: removed: no route sends requests to it"),
		Entry("a warm-up", func(d *policy.Document) { d.WarmUps = nil },
			"change: service a: warm-up: 5 a second for 10s -> none: targets that have just started get requests at the new rate for the new time"),
		Entry("an added customer", func(d *policy.Document) {
			d.Customers = append(d.Customers, policy.Customer{ID: "new", Keys: []string{"key-9"}})
		}, "change: customer new: added: requests with its 1 keys belong to it"),
		Entry("a removed customer", func(d *policy.Document) { d.Customers = d.Customers[1:] },
			"change: customer c: removed: its 2 keys no longer belong to it"),
		Entry("keys", func(d *policy.Document) { d.Customers[0].Keys = []string{"key-2", "key-8", "key-9"} },
			"change: customer c: keys: 2 -> 3: 2 added, 1 removed; requests with a removed key no longer belong to it"),
		Entry("a customer's priority", func(d *policy.Document) { d.Customers[0].HasRank = true },
			"change: customer c: priority: that of the route -> 0: requests of this customer are ranked otherwise under overload"),
		Entry("a rate", func(d *policy.Document) { d.Customers[0].RatePerSecond = 4 },
			"change: customer c: rate: 5 a second -> 4 a second: fewer requests of this customer are admitted"),
		Entry("a burst", func(d *policy.Document) { d.Customers[0].Burst = 20 },
			"change: customer c: burst: 10 -> 20: more requests of this customer may come at once"),
		Entry("an impossible rate", func(d *policy.Document) { d.Customers[0].RatePerSecond = math.NaN() },
			"change: customer c: served: yes -> the rate or the burst is invalid: requests of this customer are refused"),
		Entry("regions of a customer", func(d *policy.Document) { d.Customers[0].Regions = policy.OnlyRegions() },
			"change: customer c: allowed regions: north -> none: requests of this customer are refused"),
		Entry("no customers", func(d *policy.Document) { d.Customers, d.KeysRequired = nil, false },
			"change: customer c: removed: its 2 keys no longer belong to it",
			"change: customer free: removed: its 1 keys no longer belong to it",
			"change: customers: key: needed -> not needed: requests need no key"),
		Entry("a body limit", func(d *policy.Document) { d.Bounds.BodyBytes = 0 },
			"change: limits: body limit in bytes: 65536 -> none: requests with larger bodies are accepted"),
		Entry("a header limit", func(d *policy.Document) { d.Bounds.HeaderBytes = 0 },
			"change: limits: header limit in bytes: 16384 -> none: requests with headers of more than 65536 bytes are refused"),
		Entry("timeouts of connections", func(d *policy.Document) { d.Bounds.HeaderTimeout, d.Bounds.IdleTimeout = time.Second, 20*time.Second },
			"change: limits: header timeout: 3s -> 1s: connections are closed if a header takes longer than the new time",
			"change: limits: idle timeout: 15s -> 20s: connections are closed, and callers that pause in a body are refused, after the new time"),
	)
})
