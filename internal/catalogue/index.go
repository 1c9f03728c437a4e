package catalogue

import "iter"

// shardCount is the number of shards of an index. A change copies the shard
// list and the shards that it touches: at 42,000 keys about 6 KB and 2.6 KB.
const shardCount = 256

// indexSpec says how an index hashes its values and tells them apart.
type indexSpec[K, V any] struct {
	hash  func(K) uint32
	keyOf func(*V) K
	has   func(*V, K) bool
}

// slot is one value with its hash, so that a search reads values of equal hash only.
type slot[V any] struct {
	hash  uint32
	value *V
}

// index is an immutable, sharded hash table. The low bits of a hash select the
// shard; each shard is sorted by hash.
type index[K, V any] struct {
	spec   *indexSpec[K, V]
	shards [][]slot[V]
	size   int
}

// newIndex returns an empty index.
func newIndex[K, V any](spec *indexSpec[K, V]) index[K, V] {
	return index[K, V]{spec: spec, shards: make([][]slot[V], shardCount)}
}

// find returns the value with the key, or nil.
func (x index[K, V]) find(key K) *V {
	hash := x.spec.hash(key)
	shard := x.shards[hash%shardCount]
	at, found := x.search(shard, hash, key)
	if !found {
		return nil
	}
	return shard[at].value
}

// search returns the position of the key in its shard, or where to insert it.
func (x index[K, V]) search(shard []slot[V], hash uint32, key K) (at int, found bool) {
	for at = lowerBound(shard, hash); at < len(shard) && shard[at].hash == hash; at++ {
		if x.spec.has(shard[at].value, key) {
			return at, true
		}
	}
	return at, false
}

// lowerBound returns the first position whose hash is not below the hash.
// Hashes are uniformly distributed, so the position is estimated from the hash
// and corrected by a few steps; the cost hardly grows with the shard.
func lowerBound[V any](shard []slot[V], hash uint32) int {
	at := int(uint64(hash) * uint64(len(shard)) >> 32)
	for at > 0 && shard[at-1].hash >= hash {
		at--
	}
	for at < len(shard) && shard[at].hash < hash {
		at++
	}
	return at
}

// all iterates over the values in no particular order.
func (x index[K, V]) all() iter.Seq[*V] {
	return func(yield func(*V) bool) {
		for _, shard := range x.shards {
			for _, s := range shard {
				if !yield(s.value) {
					return
				}
			}
		}
	}
}
