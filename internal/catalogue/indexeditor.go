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
	n := e.spec.hash(key) % shardCount
	e.own(n)
	at, found := slices.BinarySearchFunc(e.shards[n], key, e.spec.compare)
	if found {
		e.shards[n][at] = v
		return
	}
	e.shards[n] = slices.Insert(e.shards[n], at, v)
	e.size++
}

// remove deletes the value with the key, if any.
func (e *indexEditor[K, V]) remove(key K) {
	n := e.spec.hash(key) % shardCount
	at, found := slices.BinarySearchFunc(e.shards[n], key, e.spec.compare)
	if !found {
		return
	}
	e.own(n)
	e.shards[n] = slices.Delete(e.shards[n], at, at+1)
	e.size--
}

// done returns the changed index; the editor must not be used afterwards.
func (e *indexEditor[K, V]) done() index[K, V] {
	for n, owned := range e.owned {
		if owned {
			e.shards[n] = slices.Clip(e.shards[n])
		}
	}
	return e.index
}
