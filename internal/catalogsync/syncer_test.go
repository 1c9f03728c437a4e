package catalogsync_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// addHosts commits n changes, each of which adds one host.
func addHosts(store *cataloguestore.Store, n int) {
	ctx := context.Background()
	head, _, err := store.Revisions(ctx)
	Expect(err).NotTo(HaveOccurred())
	for i := range n {
		host := &catalogue.Host{
			Meta: catalogue.Meta{Owner: "ops", Class: "standard"},
			ID:   id.HostID(fmt.Sprintf("h%d", int(head)+i)), FailureDomain: "fd",
		}
		changeID := catalogue.ChangeID(host.ID)
		state, err := store.Read(ctx, "op", changeID, []catalogue.Ref{host.Ref()})
		Expect(err).NotTo(HaveOccurred())
		change := &catalogue.Change{
			Revision: state.Head + 1, ID: changeID, Operator: "op", At: time.Unix(0, 0),
			Edits: []catalogue.Edit{{After: host}},
		}
		Expect(store.Commit(ctx, state, change, cataloguestore.Fingerprint{})).To(Succeed())
	}
}

var _ = Describe("Syncer", func() {
	var (
		memory *platform.Memory
		store  *cataloguestore.Store
		fake   *clock.Fake
		ctx    = context.Background()
	)

	BeforeEach(func() {
		memory = platform.NewMemory()
		store = cataloguestore.New(memory.Table(), memory.Objects())
		fake = &clock.Fake{}
	})

	syncer := func(config catalogsync.Config) *catalogsync.Syncer {
		config.Clock, config.Logger = fake, zerolog.Nop()
		return catalogsync.New(store, config)
	}

	// Guards against an age that counts from the end of a read or is reset by a failed read.
	It("measures the age from before the read", func() {
		addHosts(store, 3)
		s := syncer(catalogsync.Config{OnApply: func(*catalogue.Snapshot) { fake.Advance(time.Second) }})
		_, ok := s.Status().Age(fake.Now())
		Expect(ok).To(BeFalse())
		Expect(s.Poll(ctx)).To(Succeed())
		age, ok := s.Status().Age(fake.Now())
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(3 * time.Second))
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		Expect(s.Poll(cancelled)).NotTo(Succeed())
		fake.Advance(time.Second)
		age, _ = s.Status().Age(fake.Now())
		Expect(age).To(Equal(4 * time.Second))
	})

	// Guards against a daemon that reads every change since the beginning, or that
	// misses the changes after the stored snapshot.
	It("starts from the stored snapshot", func() {
		addHosts(store, 300)
		first := syncer(catalogsync.Config{})
		Expect(first.Poll(ctx)).To(Succeed())
		Expect(store.SaveSnapshot(ctx, first.Snapshot())).To(Succeed())
		addHosts(store, 5)
		var steps []catalogue.Revision
		second := syncer(catalogsync.Config{OnApply: func(s *catalogue.Snapshot) { steps = append(steps, s.Revision()) }})
		Expect(second.Poll(ctx)).To(Succeed())
		Expect(steps).To(Equal([]catalogue.Revision{300, 301, 302, 303, 304, 305}))
		Expect(second.Snapshot().Roster()).To(HaveLen(305))
	})

	// Guards against a damaged snapshot object that keeps every new daemon from starting.
	It("starts without a usable snapshot", func() {
		addHosts(store, 300)
		first := syncer(catalogsync.Config{})
		Expect(first.Poll(ctx)).To(Succeed())
		Expect(store.SaveSnapshot(ctx, first.Snapshot())).To(Succeed())
		Expect(memory.Objects().Put(ctx, "catalogue/snapshot", []byte("damaged"))).To(Succeed())
		second := syncer(catalogsync.Config{})
		Expect(second.Poll(ctx)).To(Succeed())
		Expect(second.Snapshot().Revision()).To(Equal(catalogue.Revision(300)))
	})

	// Guards against a peer that cannot serve a daemon that is far behind, against
	// a delta that is applied across a gap, and against an old delta that is
	// applied again.
	It("passes changes and snapshots between peers", func() {
		addHosts(store, 600)
		source := syncer(catalogsync.Config{})
		Expect(source.Poll(ctx)).To(Succeed())
		server := httptest.NewServer(rpc.NewSyncServer(catalogsync.NewServer(source.Replica)))
		DeferCleanup(server.Close)
		replica := catalogsync.NewReplica(nil)
		old, err := source.DeltaSince(100)
		Expect(err).NotTo(HaveOccurred())
		Expect(old.Changes).To(HaveLen(500))
		Expect(replica.ApplyDelta(old)).NotTo(Succeed())
		Expect(replica.Pull(ctx, http.DefaultClient, server.URL)).To(Succeed())
		Expect(replica.Snapshot().Revision()).To(Equal(catalogue.Revision(600)))
		Expect(replica.ApplyDelta(old)).To(Succeed())
		addHosts(store, 1)
		Expect(source.Poll(ctx)).To(Succeed())
		Expect(replica.Pull(ctx, http.DefaultClient, server.URL)).To(Succeed())
		Expect(replica.Snapshot().Revision()).To(Equal(catalogue.Revision(601)))
	})

	// Guards against a snapshot that is never stored, so that new daemons read
	// every change, and against a daemon that does not recover after an outage.
	It("stores snapshots and recovers after an outage", func() {
		server := emulator.New(memory, 1)
		server.SetFaults(emulator.Faults{Down: true})
		listener := httptest.NewServer(server)
		DeferCleanup(listener.Close)
		client := platform.NewClient(listener.URL, &http.Client{Timeout: time.Second})
		remote := cataloguestore.New(client.Table(), client.Objects())
		s := catalogsync.New(remote, catalogsync.Config{
			Clock: clock.NewSystem(), Logger: zerolog.Nop(), PollInterval: 10 * time.Millisecond,
			MaxBackoff: 40 * time.Millisecond, StartSpread: time.Millisecond, SnapshotSpread: time.Millisecond,
		})
		running, stop := context.WithCancel(ctx)
		var group sync.WaitGroup
		group.Go(func() { _ = s.Run(running) })
		DeferCleanup(func() { stop(); group.Wait() })
		Eventually(func() int { return s.Status().Failures }).Should(BeNumerically(">", 3))
		addHosts(store, 300)
		server.SetFaults(emulator.Faults{})
		Eventually(func() catalogue.Revision { return s.Status().Revision }).Should(Equal(catalogue.Revision(300)))
		Eventually(func() catalogue.Revision {
			_, stored, err := store.Revisions(ctx)
			Expect(err).NotTo(HaveOccurred())
			return stored
		}).Should(Equal(catalogue.Revision(300)))
		Expect(s.Status().Failures).To(BeZero())
	})

	// Guards against daemons that start at the same time and together exceed the
	// platform's limit of 2,000 reads a second, so that none of them is served.
	It("starts 460 daemons within the platform's limits", func() {
		addHosts(store, 300)
		platformServer := emulator.New(memory, 1)
		first := syncer(catalogsync.Config{})
		Expect(first.Poll(ctx)).To(Succeed())
		Expect(store.SaveSnapshot(ctx, first.Snapshot())).To(Succeed())
		addHosts(store, 200)
		platformServer.SetFaults(emulator.Faults{ReadsPerSecond: 2000, WritesPerSecond: 300})
		server := httptest.NewServer(platformServer)
		DeferCleanup(server.Close)
		httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, MaxConnsPerHost: 50}}
		client := platform.NewClient(server.URL, httpClient)
		running, stop := context.WithCancel(ctx)
		var group sync.WaitGroup
		fleet := make([]*catalogsync.Syncer, 460)
		for i := range fleet {
			config := catalogsync.Config{Clock: clock.NewSystem(), Logger: zerolog.Nop(), Seed: uint64(i)}
			fleet[i] = catalogsync.New(cataloguestore.New(client.Table(), client.Objects()), config)
			group.Go(func() { _ = fleet[i].Run(running) })
		}
		Eventually(func() int {
			behind := 0
			for _, s := range fleet {
				if s.Snapshot().Revision() != 500 {
					behind++
				}
			}
			return behind
		}, time.Minute, 100*time.Millisecond).Should(BeZero())
		counts := platformServer.Counts()
		AddReportEntry("platform calls", counts)
		Expect(counts.Refused).To(BeZero())
		stop()
		group.Wait()
	})
})
