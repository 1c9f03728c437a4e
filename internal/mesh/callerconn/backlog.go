package callerconn

import (
	"context"
	"net"
	"syscall"
	"time"
)

// maxBacklogPolls bounds the checks of AwaitAccepted, about a second on a host that is not short of processor time. Connections may
// come faster than they are accepted.
const maxBacklogPolls = 100

// AwaitAccepted waits until no connection waits to be accepted by the server of the listener, for a limited number of checks or until
// ctx ends. The end of a listener resets the connections that wait, with the requests that were sent on them.
func (f *Front) AwaitAccepted(ctx context.Context, l net.Listener) {
	if wrapped, ok := l.(*listener); ok {
		l = wrapped.Listener
	}
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for range maxBacklogPolls {
		waiting := false
		if raw.Control(func(fd uintptr) { waiting = hasBacklog(int(fd)) }) != nil || !waiting {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
