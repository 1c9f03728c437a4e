package hop

import "golang.org/x/sys/unix"

// wasReset reports whether a socket that has reached the end of its stream was reset. After a regular end, in which only the peer
// has stopped writing, the socket can still be written to.
func wasReset(fd int) bool {
	events := []unix.PollFd{{Fd: int32(fd)}}
	n, err := unix.Poll(events, 0)
	return err == nil && n > 0 && events[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
}
