package gateway

import "sync"

// cacheKey identifies a record of the journal.
type cacheKey struct {
	part   int
	offset int64
}

// cache holds records of the journal, at most limit bytes of them. The record added first
// is evicted first.
type cache struct {
	mu    sync.Mutex
	limit int
	bytes int
	held  map[cacheKey][]byte
	order []cacheKey
}

func newCache(limit int) *cache { return &cache{limit: limit, held: make(map[cacheKey][]byte)} }

func (c *cache) put(k cacheKey, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.held[k]; ok || len(b) > c.limit {
		return
	}
	c.held[k] = b
	c.order = append(c.order, k)
	c.bytes += len(b)
	for c.bytes > c.limit {
		o := c.order[0]
		c.order = c.order[1:]
		c.bytes -= len(c.held[o])
		delete(c.held, o)
	}
}

func (c *cache) get(k cacheKey) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.held[k]
	return b, ok
}
