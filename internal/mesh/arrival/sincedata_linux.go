package arrival

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceData returns how long ago a socket received data.
func sinceData(fd int) time.Duration {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// hasData reports whether a socket has data to read.
func hasData(fd int) bool {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	return err == nil && n > 0
}
