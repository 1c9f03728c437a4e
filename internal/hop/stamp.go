package hop

import (
	"context"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// stampMargin keeps stamps within MaxValidity despite clock drift.
const stampMargin = 10 * time.Second

// stamp converts the local time expiry to the peer's clock. When the reading arrived, the peer's clock was at or
// past it, so the stamp is never later than expiry, apart from clock drift. A missing or old reading is fetched
// first.
func (c *Client) stamp(ctx context.Context, p *peer, expiry clock.Time) (GateClock, error) {
	reading := p.reading.Load()
	if reading == nil || c.clock.Now().Sub(reading.at) > c.config.MaxClockAge {
		if err := c.fetchClock(ctx, p); err != nil {
			return GateClock{}, err
		}
		reading = p.reading.Load()
	}
	expiry = min(expiry, c.clock.Now().Add(MaxValidity-stampMargin))
	stamp := reading.clock
	stamp.Millis += expiry.Sub(reading.at).Milliseconds()
	stamp.Millis = max(stamp.Millis, 0)
	return stamp, nil
}

// fetchClock requests a reading of the peer's clock and records it.
func (c *Client) fetchClock(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ProgressTimeout)
	defer cancel()
	request := &http.Request{Method: http.MethodGet, URL: c.url(p, Path), Header: http.Header{}}
	transport := p.transport.Load()
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if ctx.Err() != nil {
			p.replaceTransport(transport)
		}
		return err
	}
	defer response.Body.Close()
	return c.recordClock(p, response.Header)
}

// recordClock records the clock reading of a response that has just arrived. The arrival time is safe to use,
// because the peer's clock can only have advanced since the reading.
func (c *Client) recordClock(p *peer, header http.Header) error {
	d := decoder{header: header}
	reading := d.clock(HeaderGateClock)
	if d.err != nil {
		return ErrNoClock
	}
	p.reading.Store(&clockReading{clock: reading, at: c.clock.Now()})
	return nil
}
