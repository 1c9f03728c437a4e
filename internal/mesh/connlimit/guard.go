package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
)

// Limits are the bounds on one connection. They may change while it is open.
type Limits struct {
	// HeaderBytes bounds the header fields of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first to the last byte of a head.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time until the first byte of a request.
	IdleTimeout time.Duration
	// BodyTimeout bounds the time from the head to the end of the body; zero where the handler bounds it.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time in which a reader takes nothing.
	WriteTimeout time.Duration
}

// Reason is why a request or a connection was refused or ended.
type Reason string

// The reasons. They are label values.
const (
	TooManyConns  Reason = "connections"
	HeadTooLarge  Reason = "head-size"
	HeadTooSlow   Reason = "head-time"
	HeadNoMemory  Reason = "head-memory"
	BodyNoMemory  Reason = "body-memory"
	BodyTooSlow   Reason = "body-time"
	ReaderTooSlow Reason = "reader"
	GaveWay       Reason = "gave-way"
)

// Reasons lists all reasons.
var Reasons = []Reason{TooManyConns, HeadTooLarge, HeadTooSlow, HeadNoMemory, BodyNoMemory, BodyTooSlow, ReaderTooSlow, GaveWay}

// Config holds the settings and dependencies of a Guard.
type Config struct {
	Account *memaccount.Account
	Owner   memaccount.Owner
	Clock   clock.Clock
	Limits  func() Limits
	// Count counts a refusal or the end of a connection.
	Count func(memaccount.Owner, Reason)
}

// Guard bounds the connections of one server.
type Guard struct {
	Config
	// lingering counts the connections that are being refused.
	lingering atomic.Int32
}

// New returns a guard.
func New(config Config) *Guard {
	return &Guard{Config: config}
}

// count counts a refusal or the end of a connection.
func (g *Guard) count(reason Reason) { g.Count(g.Owner, reason) }

// end ends connections that give way.
func (g *Guard) end(victims memaccount.Victims) { victims.End() }

// Attach makes the server's hooks get the connections under those of Reading, and tells these when they are idle.
func (g *Guard) Attach(server *http.Server) {
	state, conns := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		if c, ok := conn.(*Conn); ok && s == http.StateIdle {
			c.answered()
		}
		if state != nil {
			state(under(conn), s)
		}
	}
	if conns != nil {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context { return conns(ctx, under(conn)) }
	}
}

// under returns the connection that a Conn wraps, and others as they are.
func under(conn net.Conn) net.Conn {
	if c, ok := conn.(*Conn); ok {
		return c.Conn
	}
	return conn
}

// aheadAnswerBytes is the charge for an answer that waits for its turn on a connection.
const aheadAnswerBytes = 64 << 10

// HoldAhead charges the connection with a request that is served before its turn, if there is room without others giving way.
func HoldAhead(conn net.Conn, head []byte) (release func(), ok bool) {
	s := socketOf(conn)
	if s == nil {
		return func() {}, true
	}
	bytes := memaccount.HeadBytes(len(head), countLines(head)) + aheadAnswerBytes
	if !s.holder.TryCharge(bytes) {
		return nil, false
	}
	return func() { s.holder.Release(bytes) }, true
}

// The answers to what is refused before a handler gets it. They have no body.
const (
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	tooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

const (
	// lingerTime and lingerBytes bound what is read after a refusal: closing a connection with unread bytes resets it, and the
	// caller would lose the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// maxLingering bounds the connections beyond the bounds that get a refusal. Further ones are closed at once.
	maxLingering = 16
)

// turnAway refuses a connection beyond the bounds. The refusal is sent when the first bytes of a request have come, since clients
// take an answer that comes before for a fault of the connection.
func (g *Guard) turnAway(conn *net.TCPConn) {
	g.count(TooManyConns)
	if g.lingering.Add(1) > maxLingering {
		g.lingering.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer g.lingering.Add(-1)
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(lingerTime))
		if _, err := conn.Read(make([]byte, 512)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, unavailable)
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	}()
}
