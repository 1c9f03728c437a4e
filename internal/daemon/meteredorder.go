package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// meteredOrder measures the gate's queues. The gate calls it under a lock.
type meteredOrder struct {
	gate.Order
	set     *metrics.Set
	waiting map[gate.WaiterID]queuedWaiter
}

// queuedWaiter is the service of a waiter and the time when it was queued.
type queuedWaiter struct {
	service id.ServiceName
	since   clock.Time
}

// newMeteredOrder returns an order that wraps another one and measures it.
func newMeteredOrder(order gate.Order, set *metrics.Set) *meteredOrder {
	return &meteredOrder{Order: order, set: set, waiting: make(map[gate.WaiterID]queuedWaiter)}
}

// Enqueue implements gate.Order.
func (m *meteredOrder) Enqueue(now clock.Time, w gate.Waiter) error {
	queue := m.set.Queues.Of(w.Service.Name)
	if err := m.Order.Enqueue(now, w); err != nil {
		queue.Refused.Inc(1)
		return err
	}
	m.waiting[w.ID] = queuedWaiter{service: w.Service.Name, since: now}
	m.updateLength(w.Service.Name)
	return nil
}

// Next implements gate.Order.
func (m *meteredOrder) Next(now clock.Time, service id.ServiceName) (gate.Turn, bool) {
	turn, ok := m.Order.Next(now, service)
	if !ok {
		return turn, false
	}
	queue := m.set.Queues.Of(service)
	if turn.Shed {
		queue.Shed.Inc(1)
	} else if w, found := m.waiting[turn.ID]; found {
		queue.Wait.RecordDuration(now.Sub(w.since))
	}
	delete(m.waiting, turn.ID)
	m.updateLength(service)
	return turn, true
}

// Remove implements gate.Order.
func (m *meteredOrder) Remove(w gate.WaiterID) {
	m.Order.Remove(w)
	if removed, ok := m.waiting[w]; ok {
		delete(m.waiting, w)
		m.updateLength(removed.service)
	}
}

// updateLength updates the queue length metric of a service.
func (m *meteredOrder) updateLength(service id.ServiceName) {
	m.set.Queues.Of(service).Length.Update(float64(m.Order.Len(service)))
}
