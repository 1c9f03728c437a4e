package membership

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// epochHistory is the number of changes kept to recognise earlier states by their marks. Peers
// usually differ by a few recent registrations, while the whole set is several kilobytes.
const epochHistory = 64

// errEpochDelta reports a malformed delta of epochs.
var errEpochDelta = errors.New("malformed epoch delta")

// Epochs holds the highest known epoch of every host slot, learned from the platform or from peers.
// It is a Rider: a daemon that counts a heartbeat as covered also has the epochs that its sender had.
type Epochs struct {
	highest map[id.HostID]id.Epoch
	mark    uint64
	// history lists the latest changes, oldest first.
	history []epochChange
}

// epochChange records a host whose epoch changed and the mark before the change.
type epochChange struct {
	before uint64
	host   id.HostID
}

// NewEpochs returns an empty set.
func NewEpochs() *Epochs {
	return &Epochs{highest: make(map[id.HostID]id.Epoch)}
}

// Highest returns the highest known epoch of a host slot, or zero when none is known.
func (e *Epochs) Highest(host id.HostID) id.Epoch {
	return e.highest[host]
}

// Raise records an epoch and reports whether it was new.
func (e *Epochs) Raise(host id.HostID, epoch id.Epoch) bool {
	old := e.highest[host]
	if epoch <= old {
		return false
	}
	e.highest[host] = epoch
	e.history = append(e.history, epochChange{e.mark, host})
	if len(e.history) > epochHistory {
		e.history = slices.Delete(e.history, 0, 1)
	}
	e.mark ^= epochHash(host, old) ^ epochHash(host, epoch)
	return true
}

// Mark returns a hash of the whole set that does not depend on the order of changes.
func (e *Epochs) Mark() uint64 {
	return e.mark
}

// Name implements Rider.
func (e *Epochs) Name() string { return "epochs" }

// Summary implements Rider.
func (e *Epochs) Summary() []byte {
	return binary.BigEndian.AppendUint64(nil, e.mark)
}

// Covers implements Rider. It recognises the current state and the earlier states in the history.
func (e *Epochs) Covers(summary []byte) bool {
	_, known := e.changedSince(summary)
	return known
}

// changedSince returns the hosts whose epochs changed since an earlier state, and false when the
// state is not recognised.
func (e *Epochs) changedSince(summary []byte) ([]id.HostID, bool) {
	if len(summary) != 8 {
		return nil, false
	}
	mark := binary.BigEndian.Uint64(summary)
	var changed []id.HostID
	for i := len(e.history) - 1; i >= 0 && mark != e.mark; i-- {
		changed = append(changed, e.history[i].host)
		if e.history[i].before == mark {
			return changed, true
		}
	}
	return nil, mark == e.mark
}

// Delta implements Rider.
func (e *Epochs) Delta(summary []byte) ([]byte, error) {
	changed, known := e.changedSince(summary)
	if !known {
		changed = e.hosts()
	}
	var delta []byte
	for _, host := range changed {
		delta = binary.AppendUvarint(delta, uint64(len(host)))
		delta = append(delta, host...)
		delta = binary.AppendUvarint(delta, uint64(e.highest[host]))
	}
	return delta, nil
}

// Merge implements Rider.
func (e *Epochs) Merge(delta []byte) error {
	for len(delta) > 0 {
		length, n := binary.Uvarint(delta)
		if n <= 0 || uint64(len(delta)-n) < length {
			return errEpochDelta
		}
		host := id.HostID(delta[n : n+int(length)])
		delta = delta[n+int(length):]
		epoch, n := binary.Uvarint(delta)
		if n <= 0 {
			return errEpochDelta
		}
		delta = delta[n:]
		e.Raise(host, id.Epoch(epoch))
	}
	return nil
}

// hosts returns the known host slots, sorted.
func (e *Epochs) hosts() []id.HostID {
	hosts := make([]id.HostID, 0, len(e.highest))
	for host := range e.highest {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// epochHash hashes one host's epoch; zero means that no epoch is known and hashes to zero.
func epochHash(host id.HostID, epoch id.Epoch) uint64 {
	if epoch == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(epoch)))
	return h.Sum64()
}
