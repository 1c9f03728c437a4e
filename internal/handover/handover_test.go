package handover_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

func TestHandover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "handover")
}

// records implements handover.Ledger with a ledger.
type records struct{ *ledger.Ledger }

func (r records) Completion() ledger.Completion { return r.Ledger.Completion(0) }

// daemon is a receiver with at most one ledger.
type daemon struct {
	adopted  *ledger.Ledger
	standing ownership.Standing
	states   []handover.DutyState
}

func (d *daemon) NewCopy(m ledger.Manifest) (*ledger.Copy, error) {
	return ledger.NewCopy(m, ledger.DefaultSettings())
}

func (d *daemon) Adopt(c *ledger.Copy, end ledger.Completion) error {
	d.adopted = c.Activate(end, 0)
	return nil
}

func (d *daemon) Find(ledger.Location) (handover.Ledger, bool) { return nil, false }

func (d *daemon) Release(at ledger.Location) (ownership.Standing, []handover.DutyState, bool) {
	return ownership.Standing{Slot: at.Host, Epoch: at.Epoch, EpochSettled: true, SettledRoster: 9},
		[]handover.DutyState{{Part: "rate", Data: []byte{1, 2}}}, true
}

func (d *daemon) Accept(standing ownership.Standing, states []handover.DutyState) {
	d.standing, d.states = standing, states
}

var _ = Describe("Handover over HTTP", func() {
	var (
		l        *ledger.Ledger
		tickets  []string
		receiver *daemon
		sender   *handover.Sender
		calls    atomic.Int64
		largest  atomic.Int64
		// blocked names the methods whose requests get no answer.
		blocked atomic.Value
	)

	BeforeEach(func() {
		var err error
		l, err = ledger.New(ledger.Location{Host: "trelew-1", Epoch: 4}, ledger.Secret{7}, ledger.DefaultSettings())
		Expect(err).NotTo(HaveOccurred())
		tickets = nil
		for n := range 300 {
			t, err := l.Issue("chubut", ledger.Random{byte(n), byte(n >> 8)}, 0)
			Expect(err).NotTo(HaveOccurred())
			tickets = append(tickets, t)
			d := l.Begin("chubut", t, "f", 0)
			l.Finish(d.Claim, ledger.Ran(ledger.Response{
				Status: 201, Header: http.Header{"Location": {fmt.Sprint("/bookings/", n)}}, Body: make([]byte, 1000),
			}), 0)
		}
		receiver = &daemon{}
		blocked.Store("")
		calls.Store(0)
		largest.Store(0)
		settings := handover.DefaultSettings()
		settings.ChunkBytes = 32 << 10
		sender = &handover.Sender{Self: "trelew-1", Settings: settings}
		server, err := handover.NewServer(handover.Config{
			Holder: receiver, Duties: receiver, Sender: sender, Clock: clock.NewSystem(), Random: rand.Reader,
		})
		Expect(err).NotTo(HaveOccurred())
		twirpServer := handoverpb.NewHandoverServer(server)
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			largest.Store(max(largest.Load(), r.ContentLength))
			if strings.Contains(blocked.Load().(string), path.Base(r.URL.Path)) {
				// The server detects that the client disconnected only after the body was read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			twirpServer.ServeHTTP(w, r)
		}))
		DeferCleanup(web.Close)
		sender.Dial = func(id.HostID) (handoverpb.Handover, error) {
			return handoverpb.NewHandoverProtobufClient(web.URL, web.Client()), nil
		}
	})

	// Guards against records, headers or duty states that are changed by the transfer, and against
	// messages that grow with the number of records.
	It("moves everything in bounded messages", func() {
		unit := handover.Prepare(records{l}, receiver)
		result, err := sender.HandOver(context.Background(), unit, "gaiman-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(handover.HandedOver))
		Expect(largest.Load()).To(BeNumerically("<", 32<<10))
		Expect(calls.Load()).To(BeNumerically(">", 10))
		for n, t := range tickets {
			d := receiver.adopted.Begin("chubut", t, "f", 1)
			Expect(d.Kind).To(Equal(ledger.Replay))
			Expect(d.Response.Header.Get("Location")).To(Equal(fmt.Sprint("/bookings/", n)))
			Expect(d.Response.Body).To(HaveLen(1000))
		}
		Expect(receiver.standing).To(Equal(ownership.Standing{Slot: "trelew-1", Epoch: 4, EpochSettled: true, SettledRoster: 9}))
		Expect(receiver.states).To(Equal([]handover.DutyState{{Part: "rate", Data: []byte{1, 2}}}))
		Expect(l.Len()).To(BeZero())
	})

	// Guards against a leaving daemon that waits without bound, and against one that runs tickets
	// although the receiver may have them.
	It("ends within its time limit and stays sealed when Complete is not answered", func() {
		blocked.Store("Complete Abort")
		sender.Settings.CallTimeout, sender.Settings.HandoverTimeout = 50*time.Millisecond, 300*time.Millisecond
		unit := handover.Prepare(records{l}, receiver)
		start := time.Now()
		result, err := sender.HandOver(context.Background(), unit, "gaiman-1")
		Expect(err).To(HaveOccurred())
		Expect(result).To(Equal(handover.Unsure))
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		Expect(unit.Reopen()).To(BeFalse())
		blocked.Store("")
		sender.Settings = handover.DefaultSettings()
		result, err = sender.HandOver(context.Background(), unit, "gaiman-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(handover.HandedOver))
	})

	// Guards against losing tickets because one candidate is unreachable.
	It("reopens after a receiver that did not take the records", func() {
		blocked.Store("Send")
		sender.Settings.CallTimeout, sender.Settings.HandoverTimeout = 50*time.Millisecond, 300*time.Millisecond
		unit := handover.Prepare(records{l}, receiver)
		result, _, err := sender.HandOverToFirst(context.Background(), unit, []id.HostID{"gaiman-1", "madryn-1"})
		Expect(err).To(HaveOccurred())
		Expect(result).To(Equal(handover.NotTaken))
		Expect(unit.Reopen()).To(BeTrue())
	})

	// Guards against exhausting the receiver's memory with open sessions.
	It("bounds the open sessions", func() {
		client, err := sender.Dial("gaiman-1")
		Expect(err).NotTo(HaveOccurred())
		accepted := 0
		for n := range handover.DefaultMaxSessions + 5 {
			r, err := client.Offer(context.Background(), &handoverpb.OfferRequest{
				Slot: fmt.Sprint("host-", n), Epoch: 1, Secret: make([]byte, 32), WindowNs: int64(time.Hour),
			})
			Expect(err).NotTo(HaveOccurred())
			if r.Accepted {
				accepted++
			}
		}
		Expect(accepted).To(Equal(handover.DefaultMaxSessions))
	})
})
