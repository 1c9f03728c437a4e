package statesync

import "testing"

// answerShare is the part of the bound that the answer of the store, and that of a relay, may take.
const answerShare = 0.05

// TestWaitsStayBelowTheBound guards against waits that are short one by one and longer than the bound together.
func TestWaitsStayBelowTheBound(t *testing.T) {
	for way, sum := range map[string]float64{
		"a relay whose watch and first questions get no answer":      confirmShare + (maxAsks-1)*hedgeShare + answerShare,
		"a host whose relay and first questions get no answer":       askShare + (maxAsks-1)*hedgeShare + answerShare,
		"a relay whose watch is not woken, and a host that polls it": confirmShare + 2*answerShare,
	} {
		if sum > 1 {
			t.Errorf("%s: %.2f of the bound", way, sum)
		}
	}
	if confirmShare+2*answerShare > askShare {
		t.Error("hosts ask the store although their relay confirms in time")
	}
	if confirmShare+answerShare > heldShare || heldShare+4*answerShare > pollShare {
		t.Error("polls end before a healthy relay has answered")
	}
}
