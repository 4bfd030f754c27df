package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	// maxPrefixes bounds each of the two generations of the index.
	maxPrefixes = 1 << 16
	// holdersKept is the number of targets kept for one prefix.
	holdersKept = 4
)

// prefixKey joins a model and a prefix.
type prefixKey uint64

func keyOf(modelHash uint64, prefix target.PrefixHash) prefixKey {
	return prefixKey(modelHash ^ (uint64(prefix) * 0x9e3779b97f4a7c15))
}

// holders are targets that may have a prefix cached; 0 is none.
type holders [holdersKept]uint32

// prefixIndex tells which targets may have a prefix cached. It follows cache
// events, which come late and with gaps, and forgets the prefixes that were
// neither told nor found for longest: a full young generation becomes the old
// one. Its answers are hints.
type prefixIndex struct {
	young, old map[prefixKey]holders
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{young: make(map[prefixKey]holders), old: make(map[prefixKey]holders)}
}

// find returns the targets of the longest prefix known and its length in blocks.
func (x *prefixIndex) find(served string, prefixes []target.PrefixHash) (holders, int) {
	if len(prefixes) == 0 {
		return holders{}, 0
	}
	model := xxhash.Sum64String(served)
	for i := len(prefixes) - 1; i >= 0; i-- {
		if h, ok := x.get(keyOf(model, prefixes[i])); ok {
			return h, i + 1
		}
	}
	return holders{}, 0
}

func (x *prefixIndex) get(k prefixKey) (holders, bool) {
	h, ok := x.young[k]
	if !ok {
		h, ok = x.old[k]
	}
	return h, ok && h != holders{}
}

// apply takes the cache events of one target.
func (x *prefixIndex) apply(id uint32, e *inventory.TargetEvents) {
	for i := range e.Events {
		prefix, err := target.ParsePrefixHash(e.Events[i].Prefix)
		if err != nil {
			continue
		}
		k := keyOf(xxhash.Sum64String(e.Events[i].Model), prefix)
		h, _ := x.get(k)
		if e.Events[i].Evicted {
			x.put(k, h.without(id))
		} else {
			x.put(k, h.with(id))
		}
	}
}

func (x *prefixIndex) put(k prefixKey, h holders) {
	if len(x.young) >= maxPrefixes {
		x.old, x.young = x.young, make(map[prefixKey]holders, maxPrefixes)
	}
	x.young[k] = h
}

// with puts the target first and drops the last if there are too many.
func (h holders) with(id uint32) holders {
	out := holders{id}
	n := 1
	for _, other := range h {
		if other != 0 && other != id && n < holdersKept {
			out[n] = other
			n++
		}
	}
	return out
}

func (h holders) without(id uint32) holders {
	var out holders
	n := 0
	for _, other := range h {
		if other != 0 && other != id {
			out[n] = other
			n++
		}
	}
	return out
}
