package e2e_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

const (
	revokeSeed = 4401
	// forceBound is the time within which a change is in force everywhere.
	forceBound = 7 * time.Second
	// settledReplies is the number of refusals in a row that end a measurement.
	settledReplies = 30
	// openConnections is the number of measured connections per host.
	openConnections = 2
)

// revokeCase revokes a key while its callers are connected.
func revokeCase(f *fleet) {
	everywhere := f.mixed(revokeSeed, f.hosts)
	f.expectRevoked(f.issueKey(largeCustomer), "key", "revoke")
	everywhere.check()
}

// emergencyCase revokes a key while the platform is down.
func emergencyCase(f *fleet) {
	everywhere := f.mixed(revokeSeed+1, f.hosts)
	key := f.issueKey(largeCustomer)
	for _, h := range f.hosts {
		c := newCaller(key.secret, callerTimeout)
		Eventually(func() bool { return c.get(h).served() }, forceBound, pollPeriod).Should(BeTrue())
	}
	f.setPlatform(platform.Faults{Down: true})
	_, err := f.command(f.operators[0], f.hosts[0], "key", "revoke", key.id, "--why", "test")
	Expect(err).To(HaveOccurred(), "a plain revocation needs the platform")
	f.expectRevoked(key, "key", "revoke", "--emergency")
	// Written to the platform, the revocation is in the catalogue of every daemon.
	f.setPlatform(platform.Faults{})
	Eventually(func() (string, error) {
		return f.command(f.operators[0], f.hosts[3], "key", "list", "--customer", largeCustomer)
	}, 20*time.Second, time.Second).Should(MatchRegexp("(?m)^" + key.id + " .* revoked "))
	everywhere.check()
}

// expectRevoked keeps callers connected to every host, revokes their key by a
// command and measures when it works for the last time.
func (f *fleet) expectRevoked(key issuedKey, command ...string) {
	GinkgoHelper()
	var all []*connection
	for _, h := range f.hosts {
		for range openConnections {
			all = append(all, &connection{host: h, caller: newCaller(key.secret, callerTimeout)})
		}
	}
	for _, c := range all {
		Eventually(func() bool { return c.caller.get(c.host).served() }, forceBound, pollPeriod).Should(BeTrue())
	}
	var wait sync.WaitGroup
	stop := time.Now().Add(2*forceBound + time.Second)
	for _, c := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.run(stop)
		}()
	}
	time.Sleep(200 * time.Millisecond) // every connection is in use
	revoked := time.Now()
	_, err := f.command(f.operators[0], f.hosts[1], append(command, key.id, "--why", "test")...)
	Expect(err).NotTo(HaveOccurred())
	wait.Wait()
	longest := window{}
	for _, c := range all {
		longest.note(c.lastServed.Sub(revoked))
		Expect(c.settled).To(BeTrue(), "%s goes on with the revoked key, last reply %v", c.host.name, c.last)
		Expect(c.last.refusal.Code).To(Equal(problem.KeyInvalid), "%s: %v", c.host.name, c.last)
		Expect(c.servedAfterRefusal).To(BeZero(), "%s took the key again", c.host.name)
		Expect(c.caller.dials.Load()).To(Equal(int64(1)), "%s: the connection did not stay open", c.host.name)
	}
	GinkgoWriter.Printf("%v: last served %v after the command started\n", command, longest.longest.Round(time.Millisecond))
	Expect(longest.longest).To(BeNumerically("<=", forceBound))
}

// connection is one open connection that is used again and again.
type connection struct {
	host   *host
	caller *caller

	// lastServed is the time at which the last served request was sent.
	lastServed         time.Time
	last               reply
	servedAfterRefusal int
	settled            bool
}

// run sends look-ups until the key was refused several times in a row.
func (c *connection) run(stop time.Time) {
	refusals, refused := 0, false
	for time.Now().Before(stop) {
		at := time.Now()
		c.last = c.caller.get(c.host)
		switch {
		case c.last.served():
			c.lastServed = at
			refusals = 0
			if refused {
				c.servedAfterRefusal++
			}
		case c.last.refusal.Code == problem.KeyInvalid:
			refused = true
			refusals++
		}
		if refusals >= settledReplies {
			c.settled = true
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
