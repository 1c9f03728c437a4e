package catalogue

import "slices"

// indexEditor builds a changed index. Shards are copied at their first change.
type indexEditor[K, V any] struct {
	index[K, V]
	changed bool
	owned   [shardCount]bool
}

// edit returns an editor that starts from the index.
func (x index[K, V]) edit() *indexEditor[K, V] {
	return &indexEditor[K, V]{index: x}
}

// own makes the shard private to the editor.
func (e *indexEditor[K, V]) own(n uint32) {
	if !e.changed {
		e.shards = slices.Clone(e.shards)
		e.changed = true
	}
	if !e.owned[n] {
		e.shards[n] = slices.Clone(e.shards[n])
		e.owned[n] = true
	}
}

// set inserts the value or replaces the one with the same key.
func (e *indexEditor[K, V]) set(v *V) {
	key := e.spec.keyOf(v)
	hash := e.spec.hash(key)
	n := hash % shardCount
	e.own(n)
	at, found := e.search(e.shards[n], hash, key)
	if found {
		e.shards[n][at].value = v
		return
	}
	e.shards[n] = slices.Insert(e.shards[n], at, slot[V]{hash: hash, value: v})
	e.size++
}

// remove deletes the value with the key, if any.
func (e *indexEditor[K, V]) remove(key K) {
	hash := e.spec.hash(key)
	n := hash % shardCount
	at, found := e.search(e.shards[n], hash, key)
	if !found {
		return
	}
	e.own(n)
	e.shards[n] = slices.Delete(e.shards[n], at, at+1)
	e.size--
}

// done returns the changed index; the editor must not be used afterwards.
// Shards that grew are cut to size, since an index is kept far longer than it is edited.
func (e *indexEditor[K, V]) done() index[K, V] {
	for n, owned := range e.owned {
		if shard := e.shards[n]; owned && cap(shard)-len(shard) > len(shard)/8 {
			e.shards[n] = append(make([]slot[V], 0, len(shard)), shard...)
		}
	}
	return e.index
}
