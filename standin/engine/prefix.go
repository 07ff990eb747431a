package engine

import (
	"container/list"
	"hash/maphash"
	"sync"
)

// chunkTokens is the unit in which prompt prefixes are cached.
const chunkTokens = 64

// prefixCache remembers prompt prefixes by whole chunks, the least recently
// used ones first forgotten. It is safe for concurrent use.
type prefixCache struct {
	seed maphash.Seed
	// capacity is the number of chunks kept.
	capacity int

	mu     sync.Mutex
	recent *list.List // of uint64, the most recently used first
	chunks map[uint64]*list.Element
}

// newPrefixCache returns a cache of a number of tokens.
func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		seed:     maphash.MakeSeed(),
		capacity: tokens / chunkTokens,
		recent:   list.New(),
		chunks:   make(map[uint64]*list.Element),
	}
}

// use returns how many tokens at the prompt's beginning were cached and
// caches the prompt.
func (c *prefixCache) use(prompt []byte) (cached int) {
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

// touch makes a chunk the most recently used and tells whether it was kept.
func (c *prefixCache) touch(chunk uint64) bool {
	element, kept := c.chunks[chunk]
	if kept {
		c.recent.MoveToFront(element)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	if c.recent.Len() >= c.capacity {
		oldest := c.recent.Back()
		delete(c.chunks, oldest.Value.(uint64))
		c.recent.Remove(oldest)
	}
	c.chunks[chunk] = c.recent.PushFront(chunk)
	return false
}
