package catalogue

import "iter"

// shardCount is the number of shards of an index. A change copies the shard
// list and the shards that it touches: with 42,000 keys about 6 KB for the list
// and 2.6 KB per shard.
const shardCount = 256

// indexSpec defines how an index hashes its keys and compares them with values.
type indexSpec[K, V any] struct {
	hash    func(K) uint32
	keyOf   func(*V) K
	matches func(*V, K) bool
}

// slot is one value with its hash. The stored hash lets a search skip values
// with other hashes without reading them.
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
	i, found := x.search(shard, hash, key)
	if !found {
		return nil
	}
	return shard[i].value
}

// search returns the position of the key in its shard, or the position at which
// to insert it.
func (x index[K, V]) search(shard []slot[V], hash uint32, key K) (i int, found bool) {
	for i = lowerBound(shard, hash); i < len(shard) && shard[i].hash == hash; i++ {
		if x.spec.matches(shard[i].value, key) {
			return i, true
		}
	}
	return i, false
}

// lowerBound returns the first position whose hash is not below the given hash.
// It uses interpolation: hashes are uniformly distributed, so the position is
// estimated from the hash and corrected by a few steps, and the cost hardly
// grows with the size of the shard.
func lowerBound[V any](shard []slot[V], hash uint32) int {
	i := int(uint64(hash) * uint64(len(shard)) >> 32)
	for i > 0 && shard[i-1].hash >= hash {
		i--
	}
	for i < len(shard) && shard[i].hash < hash {
		i++
	}
	return i
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
