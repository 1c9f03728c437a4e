package memaccount

import "buckthornlatch.example/buckthornlatch/internal/clock"

// ConnBytes is the charge for a connection: its goroutine and the buffers of its server. 1,600 connections that had sent a byte took
// 12 KiB each (internal/mesh/crowd).
const ConnBytes = 16 << 10

// Stage is what a connection does.
type Stage int

const (
	// Fresh connections have not carried a request yet.
	Fresh Stage = iota
	// Kept connections have, and wait for the next one.
	Kept
	// Receiving connections carry a request that is not whole.
	Receiving
	// Working connections carry a request that is whole and not answered.
	Working
)

// Holder is a connection in the account.
type Holder struct {
	account *Account
	owner   Owner
	end     func()
	// index is that in the account's list, negative once the holder does not count any more.
	index int
	bytes int64
	// message is the part of bytes that Finish releases.
	message int64
	stage   Stage
	// since is when the stage began; writingSince is when the reader took something last, while writing is not zero.
	since, writingSince clock.Time
	writing             int
}

// Owner returns the owner.
func (h *Holder) Owner() Owner { return h.owner }

// mayGiveWay reports whether the holder waits for its other side.
func (h *Holder) mayGiveWay() bool {
	return h.stage != Working || h.writing > 0
}

// weight is the product of size and waiting time by which holders are chosen that give way.
func (h *Holder) weight(now clock.Time, more int64) float64 {
	since := h.since
	if h.writing > 0 && h.stage == Working {
		since = h.writingSince
	}
	return float64(h.bytes+more) * (minWait + max(now.Sub(since), 0)).Seconds()
}

// Begin sets the stage. It reports false if the holder has given way.
func (h *Holder) Begin(now clock.Time, stage Stage) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.stage, h.since = stage, now
	return h.index >= 0
}

// Charge adds bytes of the current message. On false nothing was added, and the request must not run.
func (h *Holder) Charge(now clock.Time, bytes int64) (Victims, bool) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	victims, ok := a.charge(now, h, bytes)
	if ok {
		h.message += bytes
	}
	return victims, ok
}

// TryCharge adds bytes if there is room for them without others giving way. They are released by Release.
func (h *Holder) TryCharge(bytes int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.index < 0 || a.held+bytes > a.size || a.used[h.owner].Bytes+bytes > a.bounds[h.owner].Bytes {
		return false
	}
	a.add(h, bytes)
	return true
}

// Release takes bytes of TryCharge off.
func (h *Holder) Release(bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, -bytes)
}

// Finish takes off all that was charged for the current message.
func (h *Holder) Finish() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, -h.message)
	h.message = 0
}

// BeginWrite adds bytes of an answer that the reader has not taken. They count in any case, since an answer that is ready is
// delivered; the next charge that does not fit finds the account full.
func (h *Holder) BeginWrite(now clock.Time, bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.writing++
	h.writingSince = now
	a.add(h, bytes)
}

// Wrote notes that the reader has taken something.
func (h *Holder) Wrote(now clock.Time) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.writingSince = now
}

// EndWrite takes off the bytes of BeginWrite.
func (h *Holder) EndWrite(bytes int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.writing--
	a.add(h, -bytes)
}

// Close takes the holder out of the account.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(h)
}

// add changes what a holder holds, unless it does not count any more. The caller must hold a.mu.
func (a *Account) add(h *Holder, bytes int64) {
	if h.index < 0 {
		return
	}
	h.bytes += bytes
	a.held += bytes
	a.used[h.owner].Bytes += bytes
}
