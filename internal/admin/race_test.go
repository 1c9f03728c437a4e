package admin

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

var _ = Describe("racing operators", func() {
	const (
		daemonCount   = 4
		operatorCount = 8
		changesEach   = 15
	)

	// Guards against lost, repeated or reverted changes under real concurrency
	// while the platform is down, slow and loses responses.
	It("commits every change exactly once", func() {
		memory := platform.NewMemory()
		faulty := emulator.New(memory, 7)
		server := httptest.NewServer(faulty)
		DeferCleanup(server.Close)
		client := platform.NewClient(server.URL, &http.Client{Timeout: 500 * time.Millisecond})
		store := cataloguestore.New(client.Table(), client.Objects())
		var services []*Service
		var syncers []*catalogsync.Syncer
		for range daemonCount {
			s := catalogsync.New(store, catalogsync.Config{Clock: clock.NewSystem(), Logger: zerolog.Nop()})
			services = append(services, NewService(NewEditor(store, s, time.Now), audit.New(store), &revocation.Set{}, rand.Reader))
			syncers = append(syncers, s)
		}

		stop := make(chan struct{})
		var faults sync.WaitGroup
		faults.Go(func() {
			for i := 0; ; i++ {
				states := []emulator.Faults{{LoseResponses: 0.4}, {Down: true}, {}, {DelayMs: 20, LoseResponses: 0.2}}
				faulty.SetFaults(states[i%len(states)])
				select {
				case <-stop:
					faulty.SetFaults(emulator.Faults{})
					return
				case <-time.After(60 * time.Millisecond):
				}
			}
		})

		var accepted sync.Map
		var unknown, stale atomic.Int64
		var operators sync.WaitGroup
		for o := range operatorCount {
			operators.Go(func() {
				defer GinkgoRecover()
				name := fmt.Sprintf("op%d", o)
				ctx := context.WithValue(context.Background(), operatorKey{}, Operator{Name: name, Groups: []string{"ops"}})
				for n := range changesEach {
					customer := fmt.Sprintf("c%d", n%3)
					changeID := fmt.Sprintf("%s-%d", name, n)
					for attempt := 0; ; attempt++ {
						service := services[(o+attempt)%daemonCount]
						var base catalogue.Revision
						if current := service.editor.source.Snapshot().Customer(id.CustomerID(customer)); current != nil {
							base = current.Revision
						}
						response, err := service.Apply(ctx, &rpc.ApplyRequest{
							ChangeId: changeID,
							Edits:    []*rpc.EntryEdit{customerEdit(customer, "ops", float64(1000*o+n+1), uint64(base))},
						})
						if err == nil {
							accepted.Store(changeID, response.GetRevision())
							break
						}
						var twirpErr twirp.Error
						Expect(errors.As(err, &twirpErr)).To(BeTrue())
						switch twirpErr.Code() {
						case twirp.Unknown:
							unknown.Add(1)
						case twirp.Aborted:
							stale.Add(1)
							_ = syncers[(o+attempt)%daemonCount].Poll(ctx)
						default:
							Expect(twirpErr.Code()).To(Equal(twirp.Unavailable), "%v", err)
							time.Sleep(10 * time.Millisecond)
						}
					}
				}
			})
		}
		operators.Wait()
		close(stop)
		faults.Wait()

		records, _, err := cataloguestore.New(memory.Table(), memory.Objects()).Changes(context.Background(), 0, 10000)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(operatorCount * changesEach))
		for _, record := range records {
			revision, ok := accepted.Load(string(record.Change.ID))
			Expect(ok).To(BeTrue())
			Expect(revision).To(Equal(uint64(record.Change.Revision)))
			accepted.Delete(string(record.Change.ID))
		}
		for _, s := range syncers {
			Expect(s.Poll(context.Background())).To(Succeed())
			Expect(s.Snapshot().Revision()).To(Equal(catalogue.Revision(len(records))))
		}
		AddReportEntry("responses", fmt.Sprintf("unknown %d, stale %d, platform %+v", unknown.Load(), stale.Load(), faulty.Counts()))
	})
})
