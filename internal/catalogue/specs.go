package catalogue

import (
	"encoding/binary"

	"github.com/twmb/murmur3"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// stringKeySpec returns the spec of an index whose keys are strings.
func stringKeySpec[K ~string, V any](keyOf func(*V) K) *indexSpec[K, V] {
	return &indexSpec[K, V]{
		hash:    func(k K) uint32 { return murmur3.StringSum32(string(k)) },
		keyOf:   keyOf,
		matches: func(v *V, k K) bool { return keyOf(v) == k },
	}
}

var (
	hostSpec     = stringKeySpec(func(h *Host) id.HostID { return h.ID })
	serviceSpec  = stringKeySpec(func(s *Service) id.ServiceName { return s.Name })
	routeSpec    = stringKeySpec(func(r *Route) id.RouteID { return r.ID })
	customerSpec = stringKeySpec(func(c *Customer) id.CustomerID { return c.ID })
	keySpec      = stringKeySpec(func(k *Key) KeyID { return k.ID })
	// hashSpec uses part of the key hash as it is, since SHA-256 hashes are uniformly distributed.
	hashSpec = &indexSpec[*KeyHash, Key]{
		hash:    func(h *KeyHash) uint32 { return binary.LittleEndian.Uint32(h[:4]) },
		keyOf:   func(k *Key) *KeyHash { return &k.Hash },
		matches: func(k *Key, h *KeyHash) bool { return k.Hash == *h },
	}
	groupSpec = &indexSpec[groupKey, RouteGroup]{
		hash:    func(k groupKey) uint32 { return murmur3.SeedStringSum32(murmur3.StringSum32(k.host), k.prefix) },
		keyOf:   func(g *RouteGroup) groupKey { return groupKey{host: g.Host, prefix: g.PathPrefix} },
		matches: func(g *RouteGroup, k groupKey) bool { return g.Host == k.host && g.PathPrefix == k.prefix },
	}
	virtualHostSpec = stringKeySpec(func(v *virtualHost) string { return v.name })
)
