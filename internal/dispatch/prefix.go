package dispatch

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/call"
)

// PrefixKey identifies a prompt prefix of one or more parts for one model and
// adapter.
type PrefixKey uint64

// hashPrefixes returns the key of each prefix of parts, shortest first.
func hashPrefixes(model, adapter string, parts []call.PrefixPart) []PrefixKey {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "/" + adapter)
	out := make([]PrefixKey, 0, len(parts))
	var buffer [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(buffer[:], p.ID)
		_, _ = digest.Write(buffer[:])
		out = append(out, PrefixKey(digest.Sum64()))
	}
	return out
}

// prefixCache estimates which prompt prefixes one engine caches, assuming LRU
// eviction at the capacity of its memory.
type prefixCache struct {
	recency *list.List
	byKey   map[PrefixKey]*list.Element
	tokens  int
}

// cachedPart is the last part of the prefix that key identifies. tokens is the size
// of this part alone.
type cachedPart struct {
	key    PrefixKey
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{recency: list.New(), byKey: make(map[PrefixKey]*list.Element)}
}

// touch marks the last part of a prefix as most recently used. If it is new, touch
// adds it and evicts the least recently used parts above capacity, in tokens. A part larger
// than the capacity is not cached. Each part counts as one token at least, so that declared
// sizes of 0 do not make the cache grow without bound.
func (c *prefixCache) touch(key PrefixKey, tokens, capacity int) {
	if tokens = max(tokens, 1); tokens > capacity {
		return
	}
	if e := c.byKey[key]; e != nil {
		c.recency.MoveToFront(e)
		return
	}
	c.byKey[key] = c.recency.PushFront(cachedPart{key, tokens})
	c.tokens += tokens
	for c.tokens > capacity && c.recency.Len() > 0 {
		last := c.recency.Back()
		part, ok := c.recency.Remove(last).(cachedPart)
		if !ok {
			return
		}
		delete(c.byKey, part.key)
		c.tokens -= part.tokens
	}
}

// cachedTokens returns the number of tokens in the longest cached prefix.
func (c *prefixCache) cachedTokens(keys []PrefixKey, parts []call.PrefixPart) int {
	tokens := 0
	for i, key := range keys {
		if c.byKey[key] == nil {
			break
		}
		tokens = call.AddTokens(tokens, max(parts[i].Tokens, 0))
	}
	return tokens
}
