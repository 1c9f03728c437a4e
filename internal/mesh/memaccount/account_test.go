package memaccount_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
)

// model is an account whose connections are known.
type model struct {
	*memaccount.Account
	now   clock.Time
	ended map[int]bool
}

// newModel returns an account of a host with 184 MB and 4,100 descriptors.
func newModel() *model {
	return &model{Account: memaccount.Plan(184<<20, 4100), ended: map[int]bool{}}
}

// open opens a callers' connection with a name.
func (m *model) open(name int) *memaccount.Holder {
	h, victims, ok := m.Open(m.now, memaccount.Callers, func() { m.ended[name] = true })
	victims.End()
	if !ok {
		return nil
	}
	return h
}

// charge charges a holder and ends those that give way.
func (m *model) charge(h *memaccount.Holder, bytes int64) bool {
	victims, ok := h.Charge(m.now, bytes)
	victims.End()
	return ok
}

// TestOrdinaryBesideCrowd simulates 2,000 callers that begin expensive heads and do not end them, beside ordinary requests. It guards
// against ordinary callers that are refused in favour of a crowd, and against an account that exceeds its size.
func TestOrdinaryBesideCrowd(t *testing.T) {
	m := newModel()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		m.now = m.now.Add(2 * time.Millisecond)
		if h := m.open(i); h != nil {
			h.Begin(m.now, memaccount.Receiving)
			m.charge(h, memaccount.HeadBytes(16<<10, 1600))
		}
		const ordinary = -1
		h := m.open(ordinary)
		if h == nil {
			t.Fatalf("an ordinary connection was refused beside %d", i)
		}
		h.Begin(m.now, memaccount.Receiving)
		if !m.charge(h, memaccount.HeadBytes(400+random.IntN(400), 12)) {
			t.Fatalf("an ordinary request was refused beside %d", i)
		}
		h.Begin(m.now, memaccount.Working)
		h.Finish()
		h.Close()
		if m.ended[ordinary] {
			t.Fatalf("an ordinary connection gave way beside %d", i)
		}
		if held := m.Held(memaccount.Callers); held.Bytes > m.Size() || held.Conns > 4100 {
			t.Fatalf("held %+v of %d", held, m.Size())
		}
	}
	if len(m.ended) == 0 {
		t.Error("nobody gave way")
	}
}

// TestOrder guards against the wrong holders giving way: small before large, new before old, or a request that is being worked on.
func TestOrder(t *testing.T) {
	m := newModel()
	size := m.Size() / 8
	var holders []*memaccount.Holder
	for i := range 5 {
		h := m.open(i)
		h.Begin(m.now, memaccount.Receiving)
		bytes := size
		if i == 2 {
			bytes += size / 8
		}
		if !m.charge(h, bytes-memaccount.ConnBytes) {
			t.Fatal("no room within the owner's three quarters")
		}
		holders = append(holders, h)
		m.now = m.now.Add(time.Second)
	}
	holders[0].Begin(m.now, memaccount.Working)
	late := m.open(5)
	late.Begin(m.now, memaccount.Receiving)
	m.charge(late, size)
	if !m.ended[1] || m.ended[0] || m.ended[2] || m.ended[5] {
		t.Errorf("ended %v: the oldest that receives must give way first", m.ended)
	}
	for _, h := range holders {
		h.Begin(m.now, memaccount.Working)
	}
	if m.charge(late, m.Size()) {
		t.Error("charged beyond the size")
	}
}

// TestReleaseAfterEnd guards against a sum that is wrong after a holder has given way, and against a release that fails.
func TestReleaseAfterEnd(t *testing.T) {
	m := newModel()
	h := m.open(1)
	h.Begin(m.now, memaccount.Receiving)
	m.charge(h, m.Size()/2)
	h.BeginWrite(m.now, 1000)
	other := m.open(2)
	other.Begin(m.now, memaccount.Working)
	if !m.charge(other, m.Size()/2) || !m.ended[1] {
		t.Fatal("the larger one has not given way")
	}
	h.EndWrite(1000)
	h.Finish()
	h.Release(5)
	h.Close()
	if h.TryCharge(1) || h.Begin(m.now, memaccount.Kept) {
		t.Error("a holder that has given way still counts")
	}
	other.Finish()
	other.Close()
	if held := m.Held(memaccount.Callers); held.Bytes != 0 || held.Conns != 0 {
		t.Errorf("held %+v after all have ended", held)
	}
}

// TestKeptConnections guards against idle connections of ordinary callers that give way while others have sent nothing yet.
func TestKeptConnections(t *testing.T) {
	m := newModel()
	kept := m.open(0)
	kept.Begin(m.now, memaccount.Kept)
	for i := 1; i < 5000; i++ {
		m.now = m.now.Add(time.Millisecond)
		m.open(i)
	}
	if m.ended[0] || !m.ended[1] {
		t.Errorf("kept ended %t, first fresh ended %t", m.ended[0], m.ended[1])
	}
}
