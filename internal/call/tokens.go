package call

import "math"

// maxTokens bounds declared tokens if the memory of the engine is not known.
const maxTokens = 1 << 20

// BoundTokens bounds a number of tokens that a caller has declared to the engine's memory:
// larger ones would count for more than any call can take.
func BoundTokens(declared, memoryTokens int) int {
	if memoryTokens <= 0 {
		memoryTokens = maxTokens
	}
	return min(max(declared, 0), memoryTokens)
}

// AddTokens returns the sum of two numbers of tokens, neither of which is negative, or the
// largest int if the sum exceeds it.
func AddTokens(a, b int) int {
	if a > math.MaxInt-b {
		return math.MaxInt
	}
	return a + b
}
