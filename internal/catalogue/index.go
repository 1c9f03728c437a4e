package catalogue

import (
	"iter"
	"slices"
)

// shardCount is the number of shards of an index. A change copies the shard
// list and the shards that it touches: at 42,000 keys about 6 KB and 1.3 KB.
const shardCount = 256

// indexSpec says how an index hashes and orders its values.
type indexSpec[K, V any] struct {
	hash    func(K) uint32
	keyOf   func(*V) K
	compare func(*V, K) int
}

// index is an immutable, sharded set of values, each shard sorted by key.
type index[K, V any] struct {
	spec   *indexSpec[K, V]
	shards [][]*V
	size   int
}

// newIndex returns an empty index.
func newIndex[K, V any](spec *indexSpec[K, V]) index[K, V] {
	return index[K, V]{spec: spec, shards: make([][]*V, shardCount)}
}

// find returns the value with the key, or nil.
func (x index[K, V]) find(key K) *V {
	shard := x.shards[x.spec.hash(key)%shardCount]
	at, found := slices.BinarySearchFunc(shard, key, x.spec.compare)
	if !found {
		return nil
	}
	return shard[at]
}

// all iterates over the values in no particular order.
func (x index[K, V]) all() iter.Seq[*V] {
	return func(yield func(*V) bool) {
		for _, shard := range x.shards {
			for _, v := range shard {
				if !yield(v) {
					return
				}
			}
		}
	}
}
