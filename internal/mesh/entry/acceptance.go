package entry

import "sync/atomic"

// acceptance decides once whether the host of an attempt has acknowledged it or the entry has given it up. The
// acknowledgement may arrive at the moment at which the time for it ends. The zero value is undecided.
type acceptance struct {
	state atomic.Int32
}

const (
	undecided int32 = iota
	acknowledged
	givenUp
)

// acknowledge reports whether the attempt goes on. It does not if it was given up before.
func (a *acceptance) acknowledge() bool {
	return a.state.CompareAndSwap(undecided, acknowledged) || a.state.Load() == acknowledged
}

// giveUp reports whether the attempt may be cancelled for want of an acknowledgement.
func (a *acceptance) giveUp() bool {
	return a.state.CompareAndSwap(undecided, givenUp)
}
