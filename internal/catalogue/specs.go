package catalogue

import (
	"encoding/binary"

	"github.com/twmb/murmur3"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// named returns the spec of an index whose key is a string type.
func named[K ~string, V any](keyOf func(*V) K) *indexSpec[K, V] {
	return &indexSpec[K, V]{
		hash:  func(k K) uint32 { return murmur3.StringSum32(string(k)) },
		keyOf: keyOf,
		has:   func(v *V, k K) bool { return keyOf(v) == k },
	}
}

var (
	hostSpec     = named(func(h *Host) id.HostID { return h.ID })
	serviceSpec  = named(func(s *Service) id.ServiceName { return s.Name })
	routeSpec    = named(func(r *Route) id.RouteID { return r.ID })
	customerSpec = named(func(c *Customer) id.CustomerID { return c.ID })
	keySpec      = named(func(k *Key) KeyID { return k.ID })
	// hashSpec needs no hash function of its own: key hashes are uniformly distributed.
	hashSpec = &indexSpec[*KeyHash, Key]{
		hash:  func(h *KeyHash) uint32 { return binary.LittleEndian.Uint32(h[:4]) },
		keyOf: func(k *Key) *KeyHash { return &k.Hash },
		has:   func(k *Key, h *KeyHash) bool { return k.Hash == *h },
	}
	groupSpec = &indexSpec[point, RouteGroup]{
		hash:  func(p point) uint32 { return murmur3.SeedStringSum32(murmur3.StringSum32(p.host), p.prefix) },
		keyOf: func(g *RouteGroup) point { return point{host: g.Host, prefix: g.PathPrefix} },
		has:   func(g *RouteGroup, p point) bool { return g.Host == p.host && g.PathPrefix == p.prefix },
	}
	virtualHostSpec = named(func(v *virtualHost) string { return v.name })
)
