package daemon_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// ignoredSignals discards the signals of a gate.
type ignoredSignals struct{}

func (ignoredSignals) Queued()        {}
func (ignoredSignals) Started()       {}
func (ignoredSignals) Overdue()       {}
func (ignoredSignals) CancelAdvised() {}

var _ = Describe("The allowance for repeats", func() {
	// Guards against hundreds of hosts that have the policy but not the roster, of which each takes the allowance of the whole
	// service for its own.
	It("is not used before the roster is whole", func() {
		f := &fleet{store: newStore()}
		f.store.setPolicy(1, "school-key")
		f.store.setDownPrefix("hosts/")
		h := f.add()
		client := link.NewClient()
		repeat := func() link.Reason {
			result := client.Send(context.Background(), h.address, &link.Attempt{
				RequestID: "r", Service: "walks", Caller: "walks", Route: "browse", Idempotent: true, Repeat: true, Remaining: 2 * time.Second,
				Objective: time.Second, Method: http.MethodGet, URI: "/browse/1", Host: "trails.example",
				Header: http.Header{"Request-Id": {"r"}}, Body: &link.Body{},
			}, ignoredSignals{})
			defer result.Close()
			if result.Verdict == hop.Ran {
				return link.Answered
			}
			return result.Reason
		}
		Eventually(func() int { return h.get("/browse/ready", "school-key").status }, "10s").Should(Equal(http.StatusOK))
		Consistently(repeat, "2s", "50ms").Should(Equal(link.Reason(slots.RepeatsUsedUp)))
		f.store.setDownPrefix("")
		Eventually(repeat, "10s", "50ms").Should(Equal(link.Answered))
	})
})
