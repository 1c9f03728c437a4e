package e2e_test

import (
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/faultproxy"
)

const (
	cutSeed = 4701
	// cutStep is the time between two faults. It is longer than the service's
	// progress timeout of 2 s, so that late answers come after their requests ended.
	cutStep = 3 * time.Second
)

// cutCase combines one-way cuts, silent connections, a short pause and a kill.
func cutCase(f *fleet) {
	everywhere := f.mixed(cutSeed, f.hosts)
	greedy := f.greedy(cutSeed+1, f.hosts)
	time.Sleep(time.Second) // connections are open
	// Answers of the platform stop at one daemon, answers of a target at
	// another, requests to a target at a third.
	f.hosts[0].platform.Set(faultproxy.Faults{HoldToClient: true})
	f.hosts[1].setPath(faultproxy.Faults{HoldToClient: true})
	f.hosts[2].setPath(faultproxy.Faults{HoldToServer: true})
	f.hosts[3].announcer.each((*faultproxy.Proxy).Silence)
	time.Sleep(cutStep)
	f.hosts[3].killDaemon()
	f.hosts[2].daemon.signal(syscall.SIGSTOP)
	time.Sleep(cutStep)
	f.hosts[2].daemon.signal(syscall.SIGCONT)
	// What was held arrives now, after its requests were given up.
	f.hosts[1].setPath(faultproxy.Faults{})
	f.hosts[2].setPath(faultproxy.Faults{})
	f.hosts[0].announcer.each((*faultproxy.Proxy).Silence)
	f.startDaemon(f.hosts[3])
	time.Sleep(cutStep)
	f.hosts[0].platform.Set(faultproxy.Faults{})
	f.hosts[1].platform.Silence()
	f.awaitReady(hostCount)
	// Requests that met the cuts may still end as unknown for one caller timeout.
	healed := time.Now().Add(callerTimeout)
	time.Sleep(time.Until(healed.Add(recoverTime)))
	end := time.Now()
	everywhere.check()
	f.expectWithinRate(greedy)
	everywhere.expectShare(healed, end, 0.99)
	Expect(f.watcher.found()).To(BeEmpty(), "revisions that went back")
}
