package config

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// shardCount divides an index so that a change copies only the shards that it
// touches. It is a power of two.
const shardCount = 512

// index is an immutable map from string to *T, kept as sorted shards. A
// pointer an entry is all it costs besides the records themselves.
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

func (x *index[T]) find(key string) (shard, at int, found bool) {
	shard = shardOf(key)
	at, found = slices.BinarySearchFunc(x.shards[shard], key, func(e *T, k string) int {
		return strings.Compare(x.key(e), k)
	})
	return shard, at, found
}

// get returns the entry of the key.
func (x *index[T]) get(key string) (*T, bool) {
	shard, at, found := x.find(key)
	if !found {
		return nil, false
	}
	return x.shards[shard][at], true
}

// all calls yield for each entry, in an order that depends on keys alone.
func (x *index[T]) all(yield func(*T)) {
	for _, shard := range x.shards {
		for _, e := range shard {
			yield(e)
		}
	}
}

// sorted returns the entries ordered by key.
func (x *index[T]) sorted() []*T {
	entries := make([]*T, 0, x.length)
	x.all(func(e *T) { entries = append(entries, e) })
	slices.SortFunc(entries, func(a, b *T) int { return strings.Compare(x.key(a), x.key(b)) })
	return entries
}

// edit is a batch of writes to a copy of an index. It copies each shard at
// most once and leaves the original as it was.
type edit[T any] struct {
	index[T]
	copied []bool
}

func (x *index[T]) edit() *edit[T] {
	e := &edit[T]{index: *x, copied: make([]bool, shardCount)}
	e.shards = slices.Clone(x.shards)
	return e
}

func (e *edit[T]) own(shard int) {
	if e.copied[shard] {
		return
	}
	e.shards[shard] = slices.Clone(e.shards[shard])
	e.copied[shard] = true
}

// put sets the entry of its key.
func (e *edit[T]) put(entry *T) {
	shard, at, found := e.find(e.key(entry))
	e.own(shard)
	if found {
		e.shards[shard][at] = entry
		return
	}
	e.shards[shard] = slices.Insert(e.shards[shard], at, entry)
	e.length++
}

// remove deletes the entry of the key, if there is one.
func (e *edit[T]) remove(key string) {
	shard, at, found := e.find(key)
	if !found {
		return
	}
	e.own(shard)
	e.shards[shard] = slices.Delete(e.shards[shard], at, at+1)
	e.length--
}

// done returns the edited index. The edit must not be used afterwards.
func (e *edit[T]) done() index[T] {
	for shard, copied := range e.copied {
		if copied {
			e.shards[shard] = slices.Clip(e.shards[shard])
		}
	}
	return e.index
}
