package target

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of the prompt blocks that a prefix cache
// works in.
const PrefixBlockBytes = 256

// maxPrefixBlocks bounds the work done for very long prompts.
const maxPrefixBlocks = 64

// PrefixHash identifies a prompt prefix that ends on a block boundary.
type PrefixHash uint64

// String returns the form used in cache events.
func (h PrefixHash) String() string { return strconv.FormatUint(uint64(h), 16) }

// ParsePrefixHash reverses PrefixHash.String.
func ParsePrefixHash(s string) (PrefixHash, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return PrefixHash(v), err
}

// PrefixHashes returns the hashes of the prefixes of prompt that end on a block
// boundary, shortest first. Hash i covers the first i+1 blocks.
func PrefixHashes(prompt []byte) []PrefixHash {
	blocks := min(len(prompt)/PrefixBlockBytes, maxPrefixBlocks)
	hashes := make([]PrefixHash, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, PrefixHash(digest.Sum64()))
	}
	return hashes
}
