package admin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/apikey"
	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// bearer is a round tripper that adds a bearer token to every request.
type bearer string

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

// customerEdit returns an edit of a customer.
func customerEdit(id, owner string, rate float64, expected uint64) *rpc.EntryEdit {
	return &rpc.EntryEdit{Kind: "customer", Id: id, ExpectedRevision: expected, Entry: &rpccatalogue.Entry{
		Meta: &rpccatalogue.Meta{Owner: owner, Class: "standard"},
		Kind: &rpccatalogue.Entry_Customer{Customer: &rpccatalogue.Customer{Id: id, RatePerSecond: rate, Burst: 1, Weight: 1}},
	}}
}

var _ = Describe("Service", func() {
	var (
		server    *httptest.Server
		syncer    *catalogsync.Syncer
		table     *faultyTable
		emergency *revocation.Set
		ctx       = context.Background()
	)

	BeforeEach(func() {
		memory := platform.NewMemory()
		table = &faultyTable{Table: memory.Table()}
		store := cataloguestore.New(table, memory.Objects())
		syncer = catalogsync.New(store, catalogsync.Config{Clock: &clock.Fake{}, Logger: zerolog.Nop()})
		emergency = &revocation.Set{}
		service := NewService(NewEditor(store, syncer, time.Now), audit.New(store), emergency, rand.Reader)
		server = httptest.NewServer(NewHandler(service, Credentials{
			{Operator: Operator{Name: "ana", Groups: []string{"sales"}}, TokenHash: sha256.Sum256([]byte("token-a"))},
			{Operator: Operator{Name: "ben", Groups: []string{"ops"}}, TokenHash: sha256.Sum256([]byte("token-b"))},
			{Operator: Operator{Name: "eva", Groups: []string{"ops", "sales"}}, TokenHash: sha256.Sum256([]byte("token-e"))},
		}))
		DeferCleanup(server.Close)
	})

	clientFor := func(token string) rpc.Admin {
		return rpc.NewAdminProtobufClient(server.URL, &http.Client{Transport: bearer(token)})
	}
	apply := func(token, changeID string, edits ...*rpc.EntryEdit) (*rpc.ApplyResponse, error) {
		return clientFor(token).Apply(ctx, &rpc.ApplyRequest{ChangeId: changeID, Why: "test", Edits: edits})
	}
	expectCode := func(err error, code twirp.ErrorCode) twirp.Error {
		GinkgoHelper()
		var twirpErr twirp.Error
		Expect(errors.As(err, &twirpErr)).To(BeTrue(), "%v", err)
		Expect(twirpErr.Code()).To(Equal(code), "%v", err)
		return twirpErr
	}

	// Guards against unauthenticated access.
	It("refuses unknown and missing tokens", func() {
		_, err := apply("token-x", "c1", customerEdit("parks", "sales", 1, 0))
		expectCode(err, twirp.Unauthenticated)
		_, err = rpc.NewAdminProtobufClient(server.URL, http.DefaultClient).Get(ctx, &rpc.GetRequest{})
		expectCode(err, twirp.Unauthenticated)
	})

	// Guards against changes by operators of another group, also through a change of owner.
	It("checks the old and the new owner", func() {
		_, err := apply("token-b", "c1", customerEdit("parks", "sales", 1, 0))
		expectCode(err, twirp.PermissionDenied)
		_, err = apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		for _, token := range []string{"token-a", "token-b"} {
			_, err = apply(token, "c2", customerEdit("parks", "ops", 1, 1))
			expectCode(err, twirp.PermissionDenied)
		}
		_, err = apply("token-b", "c3", &rpc.EntryEdit{Kind: "customer", Id: "parks", ExpectedRevision: 1})
		expectCode(err, twirp.PermissionDenied)
		_, err = clientFor("token-b").IssueKey(ctx, &rpc.IssueKeyRequest{ChangeId: "c4", Customer: "parks"})
		expectCode(err, twirp.PermissionDenied)
		_, err = apply("token-e", "c5", customerEdit("parks", "ops", 1, 1))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an edit that overwrites a change that its author has not seen.
	It("shows the current entry when an edit is stale", func() {
		_, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		_, err = apply("token-e", "c1", customerEdit("parks", "sales", 2, 1))
		Expect(err).NotTo(HaveOccurred())
		_, err = apply("token-a", "c2", customerEdit("parks", "sales", 3, 1), customerEdit("new", "sales", 1, 0))
		twirpErr := expectCode(err, twirp.Aborted)
		Expect(twirpErr.Meta(MetaCurrent)).To(ContainSubstring(`"revision":"2"`))
		Expect(syncer.Snapshot().Customer("new")).To(BeNil())
	})

	// Guards against a retry that applies twice, and a change id that covers two changes.
	It("returns the first result for a repeated change id", func() {
		first, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		_, err = apply("token-a", "c2", customerEdit("parks", "sales", 2, 1))
		Expect(err).NotTo(HaveOccurred())
		again, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.GetReplayed()).To(BeTrue())
		Expect(again.GetRevision()).To(Equal(first.GetRevision()))
		_, err = apply("token-a", "c1", customerEdit("parks", "sales", 9, 2))
		expectCode(err, twirp.AlreadyExists)
	})

	// Guards against a response that claims an outcome although it is unknown.
	It("resolves a lost response or reports the outcome as unknown", func() {
		table.loseResponses = 1
		response, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetRevision()).To(Equal(uint64(1)))
		table.holdWrites = 1000
		_, err = apply("token-a", "c2", customerEdit("parks", "sales", 2, 1))
		twirpErr := expectCode(err, twirp.Unknown)
		Expect(twirpErr.Msg()).To(ContainSubstring("retry with the same change id"))
		table.holdWrites = 0
		table.release()
		response, err = apply("token-a", "c2", customerEdit("parks", "sales", 2, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetReplayed()).To(BeTrue())
	})

	// Guards against a catalogue with dangling references or invalid values.
	It("refuses invalid results with every problem", func() {
		bad := customerEdit("parks", "sales", -1, 0)
		bad.Entry.GetCustomer().Burst = 0
		_, err := apply("token-a", "c1", bad)
		twirpErr := expectCode(err, twirp.InvalidArgument)
		Expect(twirpErr.Meta(MetaProblems)).To(And(ContainSubstring("rate_per_second"), ContainSubstring("burst")))
		_, err = apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		_, err = clientFor("token-a").IssueKey(ctx, &rpc.IssueKeyRequest{ChangeId: "c2", Customer: "parks"})
		Expect(err).NotTo(HaveOccurred())
		_, err = apply("token-a", "c3", &rpc.EntryEdit{Kind: "customer", Id: "parks", ExpectedRevision: 1})
		expectCode(err, twirp.InvalidArgument)
		var many []*rpc.EntryEdit
		for i := range 1001 {
			many = append(many, customerEdit(fmt.Sprintf("c%d", i), "sales", 1, 0))
		}
		_, err = apply("token-a", "c4", many...)
		expectCode(err, twirp.InvalidArgument)
	})

	// Guards against a change that is too large to be passed between daemons.
	It("refuses a change above the size limit", func() {
		var many []*rpc.EntryEdit
		for i := range 1000 {
			id := fmt.Sprintf("r%d", i)
			many = append(many, &rpc.EntryEdit{Kind: "route", Id: id, Entry: &rpccatalogue.Entry{
				Meta: &rpccatalogue.Meta{Owner: "sales", Class: "x"},
				Kind: &rpccatalogue.Entry_Route{Route: &rpccatalogue.Route{
					Id: id, Service: "s", OpenToAll: true, PathPrefix: "/" + id + strings.Repeat("x", 500),
				}},
			}})
		}
		service := &rpc.EntryEdit{Kind: "service", Id: "s", Entry: &rpccatalogue.Entry{
			Meta: &rpccatalogue.Meta{Owner: "sales", Class: "x"},
			Kind: &rpccatalogue.Entry_Service{Service: &rpccatalogue.Service{
				Name: "s", QueueLimit: 1, QueueLimitPerCustomer: 1, RequestTimeoutMs: 1, ProgressTimeoutMs: 1,
			}},
		}}
		_, err := apply("token-a", "c1", append(many[1:], service)...)
		twirpErr := expectCode(err, twirp.InvalidArgument)
		Expect(twirpErr.Meta(MetaProblems)).To(ContainSubstring("too large"))
		Expect(syncer.Snapshot().Revision()).To(BeZero())
	})

	// Guards against a key or its hash in any response but the one that issues it.
	It("returns an issued key once", func() {
		_, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		request := &rpc.IssueKeyRequest{ChangeId: "c2", Customer: "parks"}
		table.loseResponses = 1
		issued, err := clientFor("token-a").IssueKey(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		verified, err := apikey.Verify(syncer.Snapshot(), emergency, issued.GetKey())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(verified.Key.ID)).To(Equal(issued.GetKeyId()))
		again, err := clientFor("token-a").IssueKey(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.GetKeyId()).To(Equal(issued.GetKeyId()))
		Expect(again.GetKey()).To(BeEmpty())
		listed, err := clientFor("token-b").Get(ctx, &rpc.GetRequest{Kinds: []string{"key"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(listed.GetEntries()[0].GetKey().GetHash()).To(HaveEach(byte(0)))
		trail, err := clientFor("token-b").Audit(ctx, &rpc.AuditRequest{Operator: "ana", After: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(trail.GetChanges()[0].GetEdits()[0].GetAfter().GetKey().GetHash()).To(HaveEach(byte(0)))
	})

	// Guards against a revocation that is delayed by a platform outage, or lost after it.
	It("revokes during an outage", func() {
		_, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		issued, err := clientFor("token-a").IssueKey(ctx, &rpc.IssueKeyRequest{ChangeId: "c2", Customer: "parks"})
		Expect(err).NotTo(HaveOccurred())
		table.down = true
		request := &rpc.RevokeKeyRequest{ChangeId: "c3", KeyId: issued.GetKeyId(), Why: "leaked"}
		_, err = clientFor("token-a").RevokeKey(ctx, request)
		expectCode(err, twirp.Unavailable)
		request.Emergency = true
		_, err = clientFor("token-b").RevokeKey(ctx, request)
		expectCode(err, twirp.PermissionDenied)
		response, err := clientFor("token-a").RevokeKey(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetEmergency()).To(BeTrue())
		_, err = apikey.Verify(syncer.Snapshot(), emergency, issued.GetKey())
		Expect(err).To(MatchError(apikey.ErrRevoked))
		table.down = false
		store := cataloguestore.New(table, nil)
		Expect(NewFlusher(NewEditor(store, syncer, time.Now), emergency, zerolog.Nop()).Flush(ctx)).To(Succeed())
		_, err = apikey.Verify(syncer.Snapshot(), nil, issued.GetKey())
		Expect(err).To(MatchError(apikey.ErrRevoked))
		response, err = clientFor("token-a").RevokeKey(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetReplayed()).To(BeTrue())
	})

	// Guards against an operator who is told that a change was not made, when nobody knows: the change was accepted by an
	// earlier call, and the platform fails the question.
	DescribeTable("does not deny a change that was accepted", func(call func() error) {
		_, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		table.down = true
		failed := expectCode(call(), twirp.Unavailable)
		Expect(failed.Msg()).NotTo(ContainSubstring("nothing was changed"))
	},
		Entry("when its outcome is asked for", func() error {
			_, err := clientFor("token-a").Outcome(ctx, &rpc.OutcomeRequest{ChangeId: "c1"})
			return err
		}),
		Entry("when the audit trail is read", func() error {
			_, err := clientFor("token-a").Audit(ctx, &rpc.AuditRequest{})
			return err
		}),
		Entry("when it is sent again", func() error {
			_, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
			return err
		}),
	)

	// Guards against a revocation of unknown outcome that is denied, because the emergency record was refused, too.
	It("keeps the unknown outcome of a revocation whose emergency record is refused", func() {
		_, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		issued, err := clientFor("token-a").IssueKey(ctx, &rpc.IssueKeyRequest{ChangeId: "c2", Customer: "parks"})
		Expect(err).NotTo(HaveOccurred())
		var others []revocation.Record
		for n := range revocation.MaxRecords {
			others = append(others, revocation.Record{Key: catalogue.KeyID(fmt.Sprint(n)), Operator: "ana", ChangeID: "c"})
		}
		_, err = emergency.Merge(others)
		Expect(err).NotTo(HaveOccurred())
		table.holdWrites = maxCommitTries
		_, err = clientFor("token-a").RevokeKey(ctx, &rpc.RevokeKeyRequest{ChangeId: "c3", KeyId: issued.GetKeyId(), Emergency: true})
		expectCode(err, twirp.Unknown)
	})

	// Guards against an emergency revocation that is never written: its change ids were used for other changes.
	DescribeTable("writes an emergency revocation whose change ids are in use", func(inUse int, written bool) {
		_, err := apply("token-a", "c1", customerEdit("parks", "sales", 1, 0))
		Expect(err).NotTo(HaveOccurred())
		issued, err := clientFor("token-a").IssueKey(ctx, &rpc.IssueKeyRequest{ChangeId: "c2", Customer: "parks"})
		Expect(err).NotTo(HaveOccurred())
		used := []string{"c3", "emergency-" + issued.GetKeyId()}
		for n := 2; n < inUse; n++ {
			used = append(used, fmt.Sprintf("emergency-%s-%d", issued.GetKeyId(), n))
		}
		for i, changeID := range used[:inUse] {
			_, err = apply("token-a", changeID, customerEdit(fmt.Sprintf("parks-%d", i), "sales", 1, 0))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(emergency.Add(revocation.Record{Key: catalogue.KeyID(issued.GetKeyId()), Operator: "ana", ChangeID: "c3"})).To(Succeed())
		flusher := NewFlusher(NewEditor(cataloguestore.New(table, nil), syncer, time.Now), emergency, zerolog.Nop())
		err = flusher.Flush(ctx)
		if !written {
			Expect(err).To(MatchError(ContainSubstring("was used for another change")))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		_, err = apikey.Verify(syncer.Snapshot(), nil, issued.GetKey())
		Expect(err).To(MatchError(apikey.ErrRevoked))
	},
		Entry("that of the operator", 1, true),
		Entry("also the first derived one", 2, true),
		Entry("also further ones", 5, true),
		Entry("all, which is reported", 9, false),
	)

	// Guards against an API that only generated clients can use.
	It("accepts and returns JSON", func() {
		body := `{"change_id":"c1","edits":[{"kind":"customer","id":"parks","entry":{"meta":{"owner":"sales","class":"x"},` +
			`"customer":{"id":"parks","rate_per_second":2,"burst":1,"weight":1}}}]}`
		client := &http.Client{Transport: bearer("token-a")}
		response, err := client.Post(server.URL+PathPrefix+"Apply", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		var decoded map[string]any
		Expect(json.Unmarshal(data, &decoded)).To(Succeed())
		Expect(decoded["revision"]).To(Equal("1"))
	})
})
