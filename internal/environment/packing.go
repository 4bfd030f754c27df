package environment

import "slices"

// footprint is the memory needed by one model with its largest adapter.
type footprint struct {
	model    string
	memoryMB int64
}

// footprints returns the memory footprints of all models, largest first.
func (c *checker) footprints() []footprint {
	largest := make(map[string]int64)
	for _, a := range c.doc.Adapters {
		largest[a.Model] = max(largest[a.Model], a.MemoryMB)
	}
	out := make([]footprint, 0, len(c.doc.Models))
	for _, m := range c.doc.Models {
		out = append(out, footprint{m.Name, m.MemoryMB + largest[m.Name]})
	}
	slices.SortStableFunc(out, func(a, b footprint) int { return int(b.memoryMB - a.memoryMB) })
	return out
}

// placeFirstFit subtracts memoryMB from the first entry of free that is large
// enough. It reports whether there was one.
func placeFirstFit(free []int64, memoryMB int64) bool {
	for i := range free {
		if free[i] >= memoryMB {
			free[i] -= memoryMB
			return true
		}
	}
	return false
}
