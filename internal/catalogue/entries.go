package catalogue

import (
	"cmp"
	"iter"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Entry returns the entry with the name, or nil.
func (s *Snapshot) Entry(ref Ref) Entry {
	switch ref.Kind {
	case KindHost:
		return orNil(s.Host(id.HostID(ref.ID)))
	case KindService:
		return orNil(s.Service(id.ServiceName(ref.ID)))
	case KindRoute:
		return orNil(s.Route(id.RouteID(ref.ID)))
	case KindCustomer:
		return orNil(s.Customer(id.CustomerID(ref.ID)))
	case KindKey:
		return orNil(s.Key(KeyID(ref.ID)))
	default:
		return nil
	}
}

// orNil returns a nil interface for a nil pointer.
func orNil[V any, P interface {
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
		_ = each(s.hosts, yield) && each(s.services, yield) && each(s.routes, yield) &&
			each(s.customers, yield) && each(s.keys, yield)
	}
}

// Customers iterates over all customers in no particular order.
func (s *Snapshot) Customers() iter.Seq[*Customer] {
	return s.customers.all()
}

// each yields the values of an index until yield returns false.
func each[K, V any, P interface {
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

// kindOrder is the order of kinds in listings: entries follow those that they refer to.
var kindOrder = []Kind{KindHost, KindService, KindCustomer, KindRoute, KindKey}

// Sorted returns all entries of the kinds by kind and id; no kinds means all.
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

// CompareRefs orders by kind, in the order of listings, and by id.
func CompareRefs(a, b Ref) int {
	byKind := cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind))
	return cmp.Or(byKind, cmp.Compare(a.ID, b.ID))
}
