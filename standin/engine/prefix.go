package engine

import (
	"container/list"
	"hash/maphash"
	"sync"
)

// chunkTokens is the number of tokens in a chunk, the unit in which prompt
// prefixes are cached.
const chunkTokens = 64

// prefixCache caches prompt prefixes in whole chunks and evicts the least
// recently used chunk first. It is safe for concurrent use.
type prefixCache struct {
	seed maphash.Seed
	// capacity is the maximum number of chunks.
	capacity int

	mu     sync.Mutex
	lru    *list.List // of uint64 prefix hashes, most recently used first
	chunks map[uint64]*list.Element
}

// newPrefixCache returns a cache that holds that many tokens, rounded down to
// whole chunks.
func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		seed:     maphash.MakeSeed(),
		capacity: tokens / chunkTokens,
		lru:      list.New(),
		chunks:   make(map[uint64]*list.Element),
	}
}

// lookupAndInsert returns the length in tokens of the longest cached prefix of
// the prompt, and caches the prompt.
func (c *prefixCache) lookupAndInsert(prompt []byte) (cached int) {
	const chunkBytes = chunkTokens * promptBytesPerToken
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	var prefix maphash.Hash
	prefix.SetSeed(c.seed)
	for len(prompt) >= chunkBytes {
		prefix.Write(prompt[:chunkBytes])
		prompt = prompt[chunkBytes:]
		hit = c.touch(prefix.Sum64()) && hit
		if hit {
			cached += chunkTokens
		}
	}
	return cached
}

// touch makes a chunk the most recently used one, inserting it if needed, and
// reports whether it was cached already.
func (c *prefixCache) touch(chunk uint64) bool {
	element, found := c.chunks[chunk]
	if found {
		c.lru.MoveToFront(element)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	if c.lru.Len() >= c.capacity {
		oldest := c.lru.Back()
		delete(c.chunks, oldest.Value.(uint64))
		c.lru.Remove(oldest)
	}
	c.chunks[chunk] = c.lru.PushFront(chunk)
	return false
}
