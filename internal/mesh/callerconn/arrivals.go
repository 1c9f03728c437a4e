package callerconn

import "time"

// arrivals remembers when the bytes were received that the server has not read.
type arrivals struct {
	pieces []piece
	// last is when the last bytes were received that the server has read as part of a request.
	last time.Time
}

// piece is a run of bytes that were received together.
type piece struct {
	size int
	at   time.Time
}

// add adds bytes that were received.
func (a *arrivals) add(size int, at time.Time) {
	a.pieces = append(a.pieces, piece{size: size, at: at})
}

// latest returns when the latest bytes were received.
func (a *arrivals) latest() time.Time {
	return a.pieces[len(a.pieces)-1].at
}

// taken removes bytes that the server has read. A look ahead does not set last, because the request before may still
// have to begin.
func (a *arrivals) taken(size int, setLast bool) {
	for size > 0 {
		first := &a.pieces[0]
		n := min(size, first.size)
		first.size -= n
		size -= n
		if setLast {
			a.last = first.at
		}
		if first.size == 0 {
			a.pieces = a.pieces[1:]
		}
	}
	if len(a.pieces) == 0 {
		a.pieces = nil
	}
}
