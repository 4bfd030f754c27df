package environment

import "slices"

// need is the memory of one model together with its largest adapter.
type need struct {
	model    string
	memoryMB int64
}

// needs returns the memory needs of all models, largest first.
func (c *checker) needs() []need {
	largest := make(map[string]int64)
	for _, a := range c.doc.Adapters {
		largest[a.Model] = max(largest[a.Model], a.MemoryMB)
	}
	out := make([]need, 0, len(c.doc.Models))
	for _, m := range c.doc.Models {
		out = append(out, need{m.Name, m.MemoryMB + largest[m.Name]})
	}
	slices.SortStableFunc(out, func(a, b need) int { return int(b.memoryMB - a.memoryMB) })
	return out
}

// placeFirstFit takes memory from the first of free that has enough.
func placeFirstFit(free []int64, memoryMB int64) bool {
	for i := range free {
		if free[i] >= memoryMB {
			free[i] -= memoryMB
			return true
		}
	}
	return false
}
