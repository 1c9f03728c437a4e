package catalogue

import "slices"

// Entry is a *Host, *Service, *Route, *Customer or *Key. An entry that is part
// of a Snapshot or Change must not be modified.
type Entry interface {
	// Ref names the entry.
	Ref() Ref
	// Common returns the fields that every entry has.
	Common() Meta
	// withRevisions returns a copy with the revisions of its creation and last change set.
	withRevisions(created, last Revision) Entry
}

// Ref implements Entry.
func (h *Host) Ref() Ref { return Ref{KindHost, string(h.ID)} }

// Ref implements Entry.
func (s *Service) Ref() Ref { return Ref{KindService, string(s.Name)} }

// Ref implements Entry.
func (r *Route) Ref() Ref { return Ref{KindRoute, string(r.ID)} }

// Ref implements Entry.
func (c *Customer) Ref() Ref { return Ref{KindCustomer, string(c.ID)} }

// Ref implements Entry.
func (k *Key) Ref() Ref { return Ref{KindKey, string(k.ID)} }

// Common implements Entry for the kinds that embed Meta.
func (m Meta) Common() Meta { return m }

func (h *Host) withRevisions(created, last Revision) Entry {
	c := *h
	c.Created, c.Revision = created, last
	return &c
}

func (s *Service) withRevisions(created, last Revision) Entry {
	c := *s
	c.Created, c.Revision = created, last
	return &c
}

func (r *Route) withRevisions(created, last Revision) Entry {
	c := *r
	c.Created, c.Revision = created, last
	return &c
}

func (c *Customer) withRevisions(created, last Revision) Entry {
	d := *c
	d.Created, d.Revision = created, last
	return &d
}

func (k *Key) withRevisions(created, last Revision) Entry {
	c := *k
	c.Created, c.Revision = created, last
	return &c
}

// WithRevision returns a copy of the entry with the revision set.
func WithRevision(e Entry, r Revision) Entry {
	return e.withRevisions(e.Common().Created, r)
}

// SameContent reports whether two entries are equal apart from their revisions.
func SameContent(a, b Entry) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	switch x := a.withRevisions(0, 0).(type) {
	case *Host:
		y, ok := b.withRevisions(0, 0).(*Host)
		return ok && *x == *y
	case *Service:
		y, ok := b.withRevisions(0, 0).(*Service)
		return ok && *x == *y
	case *Customer:
		y, ok := b.withRevisions(0, 0).(*Customer)
		return ok && *x == *y
	case *Key:
		y, ok := b.withRevisions(0, 0).(*Key)
		return ok && *x == *y
	case *Route:
		y, ok := b.withRevisions(0, 0).(*Route)
		return ok && sameRoute(x, y)
	default:
		return false
	}
}

// sameRoute reports whether two routes are equal. Their slices rule out ==.
func sameRoute(x, y *Route) bool {
	return x.Meta == y.Meta && x.ID == y.ID && x.Service == y.Service && x.Host == y.Host &&
		x.PathPrefix == y.PathPrefix && x.Idempotent == y.Idempotent && x.OpenToAll == y.OpenToAll &&
		slices.Equal(x.Methods, y.Methods) && slices.Equal(x.Customers, y.Customers)
}
