package enginestandin

import (
	"container/list"

	"github.com/dotterellink/dotterellink/internal/target"
)

type cacheKey struct {
	model string
	hash  target.PrefixHash
}

// prefixCache keeps the most recently used prompt blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[cacheKey]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[cacheKey]*list.Element)}
}

// touch returns the number of leading blocks of prompt that were cached, caches
// the rest and returns the events of the change.
func (c *prefixCache) touch(model string, prompt []byte) (int, []target.CacheEvent) {
	cached, missed := 0, false
	var events []target.CacheEvent
	for _, hash := range target.PrefixHashes(prompt) {
		key := cacheKey{model, hash}
		if element, ok := c.blocks[key]; ok {
			c.order.MoveToFront(element)
			if !missed {
				cached++
			}
			continue
		}
		missed = true
		c.blocks[key] = c.order.PushFront(key)
		events = append(events, target.CacheEvent{Model: model, Prefix: hash.String()})
		events = append(events, c.evict()...)
	}
	return cached, events
}

func (c *prefixCache) evict() []target.CacheEvent {
	if len(c.blocks) <= c.capacity {
		return nil
	}
	oldest := c.order.Back()
	key := c.order.Remove(oldest).(cacheKey)
	delete(c.blocks, key)
	return []target.CacheEvent{{Model: key.model, Prefix: key.hash.String(), Evicted: true}}
}
