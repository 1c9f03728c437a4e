package hop

import (
	"io"
	"net"
	"time"
)

const (
	// uploadPause is the longest pause of a caller that is taken to be still sending, uploadTime and uploadBytes bound what is read of
	// its body before its connection is reset.
	uploadPause = 500 * time.Millisecond
	uploadTime  = 2 * time.Second
	uploadBytes = 8 << 20
)

// ResetUpload resets the connection of a caller whose answer has broken off, after it has read what the caller still sends of its
// body. A reset that the caller's write reports would look like the regular end of the connection to its read, and so of an answer
// without a length.
func ResetUpload(conn net.Conn) {
	ends := time.Now().Add(uploadTime)
	body := io.LimitReader(conn, uploadBytes)
	buffer := make([]byte, 32<<10)
	for err := error(nil); err == nil && time.Now().Before(ends); {
		_ = conn.SetReadDeadline(time.Now().Add(uploadPause))
		_, err = body.Read(buffer)
	}
	Reset(conn)
}

// Reset resets a connection, without the end of a TLS session.
func Reset(conn net.Conn) {
	for outer, ok := conn.(interface{ NetConn() net.Conn }); ok; outer, ok = conn.(interface{ NetConn() net.Conn }) {
		conn = outer.NetConn()
	}
	if socket, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}
