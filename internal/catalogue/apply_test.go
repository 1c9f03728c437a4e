package catalogue_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

var _ = Describe("Apply", func() {
	key := func(revoked bool) *catalogue.Key {
		return &catalogue.Key{ID: "k", Customer: "c", Hash: catalogue.KeyHash{1}, Revoked: revoked}
	}
	apply := func(s *catalogue.Snapshot, edits ...catalogue.Edit) (*catalogue.Snapshot, error) {
		return s.Apply(&catalogue.Change{Revision: s.Revision() + 1, Edits: edits})
	}

	// Guards against a revoked key that becomes valid again by an edit, a deletion or a replaced snapshot.
	It("never makes a revoked key valid", func() {
		valid, err := apply(catalogue.Empty(), catalogue.Edit{After: key(false)})
		Expect(err).NotTo(HaveOccurred())
		revoked, err := apply(valid, catalogue.Edit{Before: valid.Entry(key(false).Ref()), After: key(true)})
		Expect(err).NotTo(HaveOccurred())
		current := revoked.Entry(key(false).Ref())
		_, err = apply(revoked, catalogue.Edit{Before: current, After: key(false)})
		Expect(err).To(MatchError(ContainSubstring("cannot become valid")))
		_, err = apply(revoked, catalogue.Edit{Before: current})
		Expect(err).To(MatchError(ContainSubstring("cannot be deleted")))
		for _, entries := range [][]catalogue.Entry{nil, {key(false)}} {
			newer, err := catalogue.Build(9, catalogue.History{}, entries)
			Expect(err).NotTo(HaveOccurred())
			_, err = revoked.Replace(newer)
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against a roster change, such as a removed host, that the holders of duties do not detect.
	It("records the revisions of the last two roster changes", func() {
		a, b := &catalogue.Host{ID: "a"}, &catalogue.Host{ID: "b"}
		one, err := apply(catalogue.Empty(), catalogue.Edit{After: a}, catalogue.Edit{After: b})
		Expect(err).NotTo(HaveOccurred())
		two, err := apply(one, catalogue.Edit{After: key(false)})
		Expect(err).NotTo(HaveOccurred())
		three, err := apply(two, catalogue.Edit{Before: two.Host("b")})
		Expect(err).NotTo(HaveOccurred())
		last, previous := two.RosterRevisions()
		Expect([]catalogue.Revision{last, previous}).To(Equal([]catalogue.Revision{1, 0}))
		last, previous = three.RosterRevisions()
		Expect([]catalogue.Revision{last, previous}).To(Equal([]catalogue.Revision{3, 1}))
	})

	// Guards against a change that is applied twice, out of order or over a concurrent change.
	It("rejects changes that do not follow the current state", func() {
		host := &catalogue.Host{ID: "h"}
		one, err := apply(catalogue.Empty(), catalogue.Edit{After: host})
		Expect(err).NotTo(HaveOccurred())
		_, err = one.Apply(&catalogue.Change{Revision: 1})
		Expect(err).To(HaveOccurred())
		_, err = one.Apply(&catalogue.Change{Revision: 3})
		Expect(err).To(HaveOccurred())
		_, err = apply(one, catalogue.Edit{After: host})
		Expect(err).To(MatchError(ContainSubstring("already exists")))
		_, err = apply(one, catalogue.Edit{Before: host, After: host})
		Expect(err).To(MatchError(ContainSubstring("revision 1, not 0")))
		_, err = apply(one, catalogue.Edit{After: key(false)}, catalogue.Edit{After: key(false)})
		Expect(err).To(MatchError(ContainSubstring("edited twice")))
	})
})

// TestApplyAgainstMap guards against an index that loses entries, keeps removed
// ones or mixes them up, and against a change that alters an older snapshot.
func TestApplyAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := catalogue.Empty()
		model := map[id.RouteID]catalogue.Route{}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			old, oldSize := snapshot, snapshot.Size(catalogue.KindRoute)
			var edits []catalogue.Edit
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 400), 1, 20, rapid.ID).Draw(t, "ids") {
				ref := catalogue.Ref{Kind: catalogue.KindRoute, ID: fmt.Sprintf("r%d", n)}
				edit := catalogue.Edit{Before: snapshot.Entry(ref)}
				if edit.Before == nil || rapid.Bool().Draw(t, "keep") {
					prefix := fmt.Sprintf("/p%d", rapid.IntRange(0, 50).Draw(t, "prefix"))
					edit.After = &catalogue.Route{ID: id.RouteID(ref.ID), PathPrefix: prefix}
				}
				edits = append(edits, edit)
			}
			next, err := snapshot.Apply(&catalogue.Change{Revision: snapshot.Revision() + 1, Edits: edits})
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range edits {
				delete(model, id.RouteID(e.Ref().ID))
				if r, ok := e.After.(*catalogue.Route); ok {
					model[r.ID] = *r
				}
			}
			if old.Size(catalogue.KindRoute) != oldSize || len(old.Sorted()) != oldSize {
				t.Fatal("an older snapshot changed")
			}
			snapshot = next
		}
		compareRoutes(t, snapshot, model)
	})
}

// compareRoutes checks all lookups of routes against the model.
func compareRoutes(t *rapid.T, s *catalogue.Snapshot, model map[id.RouteID]catalogue.Route) {
	if s.Size(catalogue.KindRoute) != len(model) || len(s.Sorted(catalogue.KindRoute)) != len(model) {
		t.Fatalf("%d routes, want %d", s.Size(catalogue.KindRoute), len(model))
	}
	at := map[string]int{}
	for routeID, want := range model {
		got := s.Route(routeID)
		if got == nil || got.PathPrefix != want.PathPrefix {
			t.Fatalf("route %s: got %v", routeID, got)
		}
		at[want.PathPrefix]++
	}
	for n := range 51 {
		prefix := fmt.Sprintf("/p%d", n)
		if got := len(s.RoutesAt("", prefix)); got != at[prefix] {
			t.Fatalf("%d routes at %s, want %d", got, prefix, at[prefix])
		}
	}
}
