package callerconn

import "golang.org/x/sys/unix"

// hasBacklog reports whether connections wait to be accepted at a listening socket.
func hasBacklog(fd int) bool {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(events, 0)
	return err == nil && n > 0 && events[0].Revents&unix.POLLIN != 0
}
