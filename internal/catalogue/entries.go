package catalogue

import (
	"cmp"
	"iter"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Entry returns the entry named by ref, or nil.
func (s *Snapshot) Entry(ref Ref) Entry {
	switch ref.Kind {
	case KindHost:
		return entryOrNil(s.Host(id.HostID(ref.ID)))
	case KindService:
		return entryOrNil(s.Service(id.ServiceName(ref.ID)))
	case KindRoute:
		return entryOrNil(s.Route(id.RouteID(ref.ID)))
	case KindCustomer:
		return entryOrNil(s.Customer(id.CustomerID(ref.ID)))
	case KindKey:
		return entryOrNil(s.Key(KeyID(ref.ID)))
	default:
		return nil
	}
}

// entryOrNil converts a pointer to an Entry; a nil pointer becomes a nil interface.
func entryOrNil[V any, P interface {
	*V
	Entry
}](p P) Entry {
	if p == nil {
		return nil
	}
	return p
}

// All iterates over all entries in no particular order.
func (s *Snapshot) All() iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		_ = yieldAll(s.hosts, yield) && yieldAll(s.services, yield) && yieldAll(s.routes, yield) &&
			yieldAll(s.customers, yield) && yieldAll(s.keys, yield)
	}
}

// Customers iterates over all customers in no particular order.
func (s *Snapshot) Customers() iter.Seq[*Customer] {
	return s.customers.all()
}

// yieldAll yields the values of an index until yield returns false, and reports
// whether it yielded all of them.
func yieldAll[K, V any, P interface {
	*V
	Entry
}](x index[K, V], yield func(Entry) bool) bool {
	for v := range x.all() {
		if !yield(P(v)) {
			return false
		}
	}
	return true
}

// kindOrder is the order of kinds in listings: an entry comes after those that it refers to.
var kindOrder = []Kind{KindHost, KindService, KindCustomer, KindRoute, KindKey}

// Sorted returns the entries of the given kinds, or of all kinds when none is
// given, in the order of CompareRefs.
func (s *Snapshot) Sorted(kinds ...Kind) []Entry {
	var entries []Entry
	for e := range s.All() {
		if len(kinds) == 0 || slices.Contains(kinds, e.Ref().Kind) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return CompareRefs(a.Ref(), b.Ref()) })
	return entries
}

// CompareRefs orders by kind, with referenced kinds first, then by id.
func CompareRefs(a, b Ref) int {
	byKind := cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind))
	return cmp.Or(byKind, cmp.Compare(a.ID, b.ID))
}
