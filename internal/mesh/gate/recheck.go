package gate

import "time"

// AdmissionMetrics records how the gate divides its slots among classes of attempts. The methods must not block.
type AdmissionMetrics interface {
	// Refused counts an attempt that was refused, by its class and the reason.
	Refused(class, reason string)
	// Reserved sets the number of slots that are reserved for nested attempts and for more urgent ranks.
	Reserved(nested, ranks int)
}

// scheduleRecheck arranges for the queue to be served again if a slot is reserved while attempts are waiting: it opens to them
// without any event when running work has progressed. It is called with the lock held, after each change of the slots.
func (g *Gate) scheduleRecheck() {
	after, due := g.slots.RecheckAfter()
	if !due || g.rechecking {
		return
	}
	g.rechecking = true
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.rechecking = false
		g.deliver(g.slots.Recheck(g.config.Clock.Now()))
		g.scheduleRecheck()
	})
}

// recordReserved records the reserved slots in the metrics. It is called with the lock held.
func (g *Gate) recordReserved() {
	if m := g.config.AdmissionMetrics; m != nil {
		m.Reserved(g.slots.Reserved(g.config.Clock.Now()))
	}
}
