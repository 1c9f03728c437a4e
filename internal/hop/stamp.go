package hop

import (
	"context"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// stampMargin keeps stamps below MaxValidity in spite of drifting clocks.
const stampMargin = 10 * time.Second

// stamp converts the local time expiry to the peer's clock. The peer's clock was at least the reading when
// the reading arrived, so the stamp is never later than expiry. The reading is fetched when it is missing or old.
func (c *Client) stamp(ctx context.Context, p *peer, expiry clock.Time) (GateClock, error) {
	reading := p.reading.Load()
	if reading == nil || c.clock.Now().Sub(reading.at) > c.config.ClockAge {
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

// fetchClock asks the peer for its clock.
func (c *Client) fetchClock(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Silence)
	defer cancel()
	request := &http.Request{Method: http.MethodGet, URL: c.url(p, Path), Header: http.Header{}}
	transport := p.transport.Load()
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if ctx.Err() != nil {
			p.suspect(transport)
		}
		return err
	}
	defer response.Body.Close()
	return c.noteClock(p, response.Header)
}

// noteClock records the clock of a response that arrived just now. Using the arrival time is safe, because
// the peer's clock can only have advanced since it was read.
func (c *Client) noteClock(p *peer, header http.Header) error {
	d := decoder{header: header}
	reading := d.clock(HeaderGateClock)
	if d.err != nil {
		return ErrNoClock
	}
	p.reading.Store(&clockReading{clock: reading, at: c.clock.Now()})
	return nil
}
