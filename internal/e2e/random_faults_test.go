package e2e_test

import (
	"math/rand/v2"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/measuring/faultproxy"
)

// randomFault is one kind of fault at a host. It ends before the function returns.
type randomFault struct {
	name string
	run  func(f *fleet, h *host, length time.Duration, random *rand.Rand)
}

// longestFault bounds the length of a fault; it is longer than the time for which keys and duties are confirmed.
const longestFault = 13 * time.Second

// hostFaults concern one host; two of them may be under way at different hosts.
var hostFaults = []randomFault{
	{"kill", func(f *fleet, h *host, length time.Duration, _ *rand.Rand) {
		h.killDaemon()
		time.Sleep(length / 4)
		f.startDaemon(h)
	}},
	{"stop", func(f *fleet, h *host, length time.Duration, _ *rand.Rand) {
		h.daemon.signal(syscall.SIGTERM)
		Expect(h.daemon.await(stopBound)).To(Succeed())
		time.Sleep(length / 4)
		f.startDaemon(h)
	}},
	{"pause", func(_ *fleet, h *host, length time.Duration, _ *rand.Rand) {
		h.daemon.signal(syscall.SIGSTOP)
		time.Sleep(length)
		h.daemon.signal(syscall.SIGCONT)
	}},
	{"bad target", func(_ *fleet, h *host, length time.Duration, random *rand.Rand) {
		modes := []target.Mode{target.Gray, target.Slow, target.Hang, target.Flapping, target.Shedding, target.Down}
		h.setMode(modes[random.IntN(len(modes))])
		time.Sleep(length)
		h.setMode(target.Healthy)
	}},
	{"one-way cut to the target", func(_ *fleet, h *host, length time.Duration, random *rand.Rand) {
		toServer := random.IntN(2) == 0
		h.setPath(faultproxy.Faults{HoldToServer: toServer, HoldToClient: !toServer})
		time.Sleep(length)
		h.setPath(faultproxy.Faults{})
	}},
	{"silent connections to the target", func(_ *fleet, h *host, _ time.Duration, _ *rand.Rand) {
		h.announcer.each((*faultproxy.Proxy).Silence)
	}},
	{"broken connections to the target", func(_ *fleet, h *host, _ time.Duration, _ *rand.Rand) {
		h.announcer.each((*faultproxy.Proxy).Break)
	}},
	{"one-way cut from the platform", func(_ *fleet, h *host, length time.Duration, _ *rand.Rand) {
		h.platform.Set(faultproxy.Faults{HoldToClient: true})
		time.Sleep(length)
		h.platform.Set(faultproxy.Faults{})
	}},
}

// platformFaults concern every host.
var platformFaults = []platform.Faults{
	{Down: true},
	{LoseResponses: lostResponses},
	{DelayMs: 300},
}
