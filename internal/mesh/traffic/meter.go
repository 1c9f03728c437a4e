package traffic

import (
	"context"
	"net"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Count is an amount of traffic.
type Count struct {
	// Calls counts the calls, or the connections where these serve one purpose only. Sent and Received count bytes.
	Calls, Sent, Received int64
}

// Sub returns the difference of two counts.
func (c Count) Sub(earlier Count) Count {
	return Count{Calls: c.Calls - earlier.Calls, Sent: c.Sent - earlier.Sent, Received: c.Received - earlier.Received}
}

// Totals holds the counts of each purpose.
type Totals [purposes]Count

// Meter holds the totals of a host. It is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	sameDomain    func(id.HostID) bool
	within, cross [purposes]count
}

// count is a Count with atomic fields.
type count struct {
	calls, sent, received atomic.Int64
}

// NewMeter returns a meter. sameDomain reports whether a host is known to be in the failure domain of this one; it is
// asked when a connection is opened.
func NewMeter(sameDomain func(id.HostID) bool) *Meter {
	return &Meter{sameDomain: sameDomain}
}

// Cross returns the totals with hosts of other failure domains.
func (m *Meter) Cross() Totals {
	return load(&m.cross)
}

// Within returns the totals with hosts of the same failure domain.
func (m *Meter) Within() Totals {
	return load(&m.within)
}

// load returns the values of counts.
func load(counts *[purposes]count) Totals {
	var totals Totals
	for i := range counts {
		c := &counts[i]
		totals[i] = Count{Calls: c.calls.Load(), Sent: c.sent.Load(), Received: c.received.Load()}
	}
	return totals
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that counts the connections that dial opens for one purpose.
func (m *Meter) Dial(dial DialFunc, purpose Purpose) DialFunc {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counted := m.Conn(conn, id.HostID(address))
		counted.Begin().Settle(purpose)
		return counted, nil
	}
}

// Conn counts a connection to a host.
func (m *Meter) Conn(conn net.Conn, host id.HostID) *Conn {
	counts := &m.cross
	if m.sameDomain(host) {
		counts = &m.within
	}
	return &Conn{Conn: conn, counts: counts}
}
