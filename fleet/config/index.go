package config

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of an index. A change copies only the
// shards that it modifies. It is a power of two.
const shardCount = 512

// index is an immutable map from string to *T, stored as sorted shards. Besides
// the records themselves it needs one pointer per entry.
type index[T any] struct {
	key    func(*T) string
	shards [][]*T
	length int
}

func newIndex[T any](key func(*T) string) index[T] {
	return index[T]{key: key, shards: make([][]*T, shardCount)}
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % shardCount)
}

func (x *index[T]) find(key string) (shard, pos int, found bool) {
	shard = shardOf(key)
	pos, found = slices.BinarySearchFunc(x.shards[shard], key, func(e *T, k string) int {
		return strings.Compare(x.key(e), k)
	})
	return shard, pos, found
}

// get returns the entry with the given key.
func (x *index[T]) get(key string) (*T, bool) {
	shard, at, found := x.find(key)
	if !found {
		return nil, false
	}
	return x.shards[shard][at], true
}

// forEach calls visit for each entry. The order depends only on the keys.
func (x *index[T]) forEach(visit func(*T)) {
	for _, shard := range x.shards {
		for _, e := range shard {
			visit(e)
		}
	}
}

// sorted returns all entries ordered by key.
func (x *index[T]) sorted() []*T {
	entries := make([]*T, 0, x.length)
	x.forEach(func(e *T) { entries = append(entries, e) })
	slices.SortFunc(entries, func(a, b *T) int { return strings.Compare(x.key(a), x.key(b)) })
	return entries
}

// edit is a batch of writes to a copy of an index. It copies a shard before the
// first write to it and doesn't modify the original index.
type edit[T any] struct {
	index[T]
	copied []bool
}

func (x *index[T]) edit() *edit[T] {
	e := &edit[T]{index: *x, copied: make([]bool, shardCount)}
	e.shards = slices.Clone(x.shards)
	return e
}

func (e *edit[T]) copyShard(shard int) {
	if e.copied[shard] {
		return
	}
	e.shards[shard] = slices.Clone(e.shards[shard])
	e.copied[shard] = true
}

// put adds the entry or replaces the one with the same key.
func (e *edit[T]) put(entry *T) {
	shard, at, found := e.find(e.key(entry))
	e.copyShard(shard)
	if found {
		e.shards[shard][at] = entry
		return
	}
	e.shards[shard] = slices.Insert(e.shards[shard], at, entry)
	e.length++
}

// remove deletes the entry with the given key, if it exists.
func (e *edit[T]) remove(key string) {
	shard, at, found := e.find(key)
	if !found {
		return
	}
	e.copyShard(shard)
	e.shards[shard] = slices.Delete(e.shards[shard], at, at+1)
	e.length--
}

// finish returns the edited index. The edit must not be used afterwards.
func (e *edit[T]) finish() index[T] {
	for shard, copied := range e.copied {
		if copied {
			e.shards[shard] = slices.Clip(e.shards[shard])
		}
	}
	return e.index
}
