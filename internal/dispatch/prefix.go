package dispatch

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/call"
)

// PrefixKey names a run of prompt parts from the start, for one set of weights.
type PrefixKey uint64

// chain returns the key of each run of parts from the start.
func chain(model, adapter string, parts []call.PrefixPart) []PrefixKey {
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

// cached is an estimate of the prompt parts that one engine keeps: those used
// last, up to its memory.
type cached struct {
	order  *list.List
	byKey  map[PrefixKey]*list.Element
	tokens int
}

type cachedPart struct {
	key    PrefixKey
	tokens int
}

func newCached() *cached { return &cached{order: list.New(), byKey: make(map[PrefixKey]*list.Element)} }

// use notes that a part was read or used, and forgets the least recently used
// ones beyond capacity tokens.
func (c *cached) use(key PrefixKey, tokens, capacity int) {
	if e := c.byKey[key]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.byKey[key] = c.order.PushFront(cachedPart{key, tokens})
	c.tokens += tokens
	for c.tokens > capacity && c.order.Len() > 0 {
		last := c.order.Back()
		part, ok := c.order.Remove(last).(cachedPart)
		if !ok {
			return
		}
		delete(c.byKey, part.key)
		c.tokens -= part.tokens
	}
}

// kept returns the tokens of the longest run of parts that is kept.
func (c *cached) kept(keys []PrefixKey, parts []call.PrefixPart) int {
	tokens := 0
	for i, key := range keys {
		if c.byKey[key] == nil {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}
