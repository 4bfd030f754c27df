package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/inventory"
	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	// generationSize is the maximum number of prefixes in each of the two
	// generations of the index.
	generationSize = 1 << 16
	// maxTargetsPerPrefix is the maximum number of targets kept for one prefix.
	maxTargetsPerPrefix = 4
)

// prefixKey is a hash of a model name and a prefix.
type prefixKey uint64

func newPrefixKey(modelHash uint64, prefix target.PrefixHash) prefixKey {
	return prefixKey(modelHash ^ (uint64(prefix) * 0x9e3779b97f4a7c15))
}

// targetIDs lists the targets that may have a prefix cached, most recently added
// first. Unused entries are 0.
type targetIDs [maxTargetsPerPrefix]uint32

// prefixIndex maps prefixes to the targets that may have them cached. It is
// built from cache events, which may be late or missing, so its results are
// hints. Two generations bound its size: a full current generation replaces the
// previous one, which evicts the prefixes without recent events.
type prefixIndex struct {
	current, previous map[prefixKey]targetIDs
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{current: make(map[prefixKey]targetIDs), previous: make(map[prefixKey]targetIDs)}
}

// find returns the targets of the longest known prefix and its length in blocks.
func (x *prefixIndex) find(served string, prefixes []target.PrefixHash) (targetIDs, int) {
	if len(prefixes) == 0 {
		return targetIDs{}, 0
	}
	modelHash := xxhash.Sum64String(served)
	for i := len(prefixes) - 1; i >= 0; i-- {
		if ids, ok := x.get(newPrefixKey(modelHash, prefixes[i])); ok {
			return ids, i + 1
		}
	}
	return targetIDs{}, 0
}

func (x *prefixIndex) get(k prefixKey) (targetIDs, bool) {
	ids, ok := x.current[k]
	if !ok {
		ids, ok = x.previous[k]
	}
	return ids, ok && ids != targetIDs{}
}

// apply applies the cache events of one target.
func (x *prefixIndex) apply(id uint32, e *inventory.TargetEvents) {
	for i := range e.Events {
		prefix, err := target.ParsePrefixHash(e.Events[i].Prefix)
		if err != nil {
			continue
		}
		k := newPrefixKey(xxhash.Sum64String(e.Events[i].Model), prefix)
		ids, _ := x.get(k)
		if e.Events[i].Evicted {
			x.put(k, ids.without(id))
		} else {
			x.put(k, ids.with(id))
		}
	}
}

func (x *prefixIndex) put(k prefixKey, ids targetIDs) {
	if len(x.current) >= generationSize {
		x.previous, x.current = x.current, make(map[prefixKey]targetIDs, generationSize)
	}
	x.current[k] = ids
}

// with adds the target at the front and drops the last one if the list is full.
func (ids targetIDs) with(id uint32) targetIDs {
	out := targetIDs{id}
	n := 1
	for _, other := range ids {
		if other != 0 && other != id && n < maxTargetsPerPrefix {
			out[n] = other
			n++
		}
	}
	return out
}

func (ids targetIDs) without(id uint32) targetIDs {
	var out targetIDs
	n := 0
	for _, other := range ids {
		if other != 0 && other != id {
			out[n] = other
			n++
		}
	}
	return out
}
