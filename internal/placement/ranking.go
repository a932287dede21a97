package placement

import (
	"container/heap"
	"iter"
)

type (
	// ranking orders engines for a session by rendezvous hashing, so that nodes without
	// knowledge of the session choose the same engine. The order is computed lazily, since
	// usually only a few engines of hundreds are examined. Its memory is reused.
	ranking struct{ list scoredEngines }

	// scoredEngines is a max-heap by score.
	scoredEngines []scoredEngine

	scoredEngine struct {
		*engine
		score uint64
	}
)

// order yields engines with their ranks, starting at 0. Without a session all have rank 0.
func (r *ranking) order(engines []*engine, session uint64) iter.Seq2[int, *engine] {
	return func(yield func(int, *engine) bool) {
		if session == 0 {
			for _, e := range engines {
				if !yield(0, e) {
					return
				}
			}
			return
		}
		r.list = r.list[:0]
		for _, e := range engines {
			r.list = append(r.list, scoredEngine{e, mix(e.hash ^ session)})
		}
		heap.Init(&r.list)
		for rank := 0; len(r.list) > 0; rank++ {
			e := r.list[0].engine
			last := len(r.list) - 1
			r.list[0] = r.list[last]
			r.list = r.list[:last]
			if !yield(rank, e) {
				return
			}
			if last > 0 {
				heap.Fix(&r.list, 0)
			}
		}
	}
}

// mix applies the splitmix64 finalizer.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// heap.Interface methods; engines are never pushed.

func (s scoredEngines) Len() int           { return len(s) }
func (s scoredEngines) Less(i, j int) bool { return s[i].score > s[j].score }
func (s scoredEngines) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s scoredEngines) Push(any)           {}
func (s scoredEngines) Pop() any           { return nil }
