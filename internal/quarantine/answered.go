package quarantine

import "time"

// keptAnswers is how many of a team's requests are remembered as answered whole, the newest ones:
// one that is a thirtieth of its team's requests stays among them. A team takes 1.2 KB of the heap.
const keptAnswers = 32

type (
	// answered holds when the newest of a team's requests that were answered whole were so.
	answered struct {
		list [keptAnswers]answer
		next int // next is the place of the next request that is not among them.
	}

	// answer is one request and when it was answered whole.
	answer struct {
		f  Fingerprint
		at time.Time
	}
)

// note records that a request was answered whole; the one that came the longest ago gives way.
func (a *answered) note(now time.Time, f Fingerprint) {
	for i := range a.list {
		if a.list[i].f == f && !a.list[i].at.IsZero() {
			a.list[i].at = now
			return
		}
	}
	a.list[a.next] = answer{f: f, at: now}
	a.next = (a.next + 1) % keptAnswers
}

// at returns when a request was answered whole, or zero.
func (a *answered) at(f Fingerprint) time.Time {
	for _, each := range a.list {
		if each.f == f {
			return each.at
		}
	}
	return time.Time{}
}
