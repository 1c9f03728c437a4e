package attempt

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// tombstone is a finished or blocked attempt and the time at which it expires.
type tombstone struct {
	attempt id.AttemptID
	expiry  clock.Time
}

// tombstones is a FIFO queue. Its order is also that of expiry, since the retention is constant.
type tombstones struct {
	items []tombstone
	head  int
}

// minCompact is the smallest number of removed items for which the queue is compacted.
const minCompact = 1024

// len returns the number of items.
func (q *tombstones) len() int {
	return len(q.items) - q.head
}

// push appends an item.
func (q *tombstones) push(a id.AttemptID, expiry clock.Time) {
	q.items = append(q.items, tombstone{attempt: a, expiry: expiry})
}

// oldest returns the oldest item.
func (q *tombstones) oldest() tombstone {
	return q.items[q.head]
}

// pop removes the oldest item.
func (q *tombstones) pop() tombstone {
	item := q.items[q.head]
	q.head++
	if q.head >= minCompact && q.head*2 >= len(q.items) {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	return item
}

// expire removes the items whose expiry has passed.
func (q *tombstones) expire(now clock.Time, remove func(id.AttemptID)) {
	for q.len() > 0 && !now.Before(q.items[q.head].expiry) {
		remove(q.pop().attempt)
	}
}
