package catalogue

import "slices"

// indexEditor builds a changed copy of an index. Shards are copied on the first write.
type indexEditor[K, V any] struct {
	index[K, V]
	changed bool
	copied  [shardCount]bool
}

// edit returns an editor that starts from the index.
func (x index[K, V]) edit() *indexEditor[K, V] {
	return &indexEditor[K, V]{index: x}
}

// copyShard copies the shard, and the shard list, unless the editor already did.
func (e *indexEditor[K, V]) copyShard(n uint32) {
	if !e.changed {
		e.shards = slices.Clone(e.shards)
		e.changed = true
	}
	if !e.copied[n] {
		e.shards[n] = slices.Clone(e.shards[n])
		e.copied[n] = true
	}
}

// set inserts the value or replaces the one with the same key.
func (e *indexEditor[K, V]) set(v *V) {
	key := e.spec.keyOf(v)
	hash := e.spec.hash(key)
	n := hash % shardCount
	e.copyShard(n)
	i, found := e.search(e.shards[n], hash, key)
	if found {
		e.shards[n][i].value = v
		return
	}
	e.shards[n] = slices.Insert(e.shards[n], i, slot[V]{hash: hash, value: v})
	e.size++
}

// remove deletes the value with the key, if any.
func (e *indexEditor[K, V]) remove(key K) {
	hash := e.spec.hash(key)
	n := hash % shardCount
	i, found := e.search(e.shards[n], hash, key)
	if !found {
		return
	}
	e.copyShard(n)
	e.shards[n] = slices.Delete(e.shards[n], i, i+1)
	e.size--
}

// finish returns the changed index; the editor must not be used afterwards.
// Copied shards with more than 1/8 spare capacity are reallocated to their exact
// size, since an index lives far longer than its editor.
func (e *indexEditor[K, V]) finish() index[K, V] {
	for n, copied := range e.copied {
		if shard := e.shards[n]; copied && cap(shard)-len(shard) > len(shard)/8 {
			e.shards[n] = append(make([]slot[V], 0, len(shard)), shard...)
		}
	}
	return e.index
}
