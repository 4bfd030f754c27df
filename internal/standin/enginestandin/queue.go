package enginestandin

import "container/heap"

// waitQueue orders waiting calls by priority, then by arrival. It implements
// heap.Interface.
type waitQueue struct {
	streams  []*stream
	arrivals int
}

func (q *waitQueue) Len() int { return len(q.streams) }

func (q *waitQueue) Less(i, j int) bool {
	a, b := q.streams[i], q.streams[j]
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.arrival < b.arrival
}

func (q *waitQueue) Swap(i, j int) {
	q.streams[i], q.streams[j] = q.streams[j], q.streams[i]
	q.streams[i].place, q.streams[j].place = i, j
}

func (q *waitQueue) Push(x any) {
	s := x.(*stream)
	s.place = len(q.streams)
	q.streams = append(q.streams, s)
}

func (q *waitQueue) Pop() any {
	last := len(q.streams) - 1
	s := q.streams[last]
	q.streams = q.streams[:last]
	return s
}

func (q *waitQueue) remove(s *stream) {
	if s.place < len(q.streams) && q.streams[s.place] == s {
		heap.Remove(q, s.place)
	}
}
