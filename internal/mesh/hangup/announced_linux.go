package hangup

import "golang.org/x/sys/unix"

// endAnnounced reports whether the kernel knows of the end of a connection, also behind bytes that were not read, such as
// the rest of an upload.
func endAnnounced(fd int) bool {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(events, 0)
	return err == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
