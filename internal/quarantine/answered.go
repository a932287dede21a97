package quarantine

import "time"

// maxRecentAnswers is how many of a team's requests are remembered as answered whole, the newest ones:
// one that is a thirtieth of its team's requests stays among them. A team takes 1.2 KB of the heap.
const maxRecentAnswers = 32

type (
	// recentAnswers holds when the newest of a team's requests that were recentAnswers whole were so.
	recentAnswers struct {
		list [maxRecentAnswers]recentAnswer
		next int // next is the place of the next request that is not among them.
	}

	// recentAnswer is one request and when it was answered whole.
	recentAnswer struct {
		f  Fingerprint
		at time.Time
	}
)

// add records that a request was answered whole; the one that came the longest ago gives way.
func (a *recentAnswers) add(now time.Time, f Fingerprint) {
	for i := range a.list {
		if a.list[i].f == f && !a.list[i].at.IsZero() {
			a.list[i].at = now
			return
		}
	}
	a.list[a.next] = recentAnswer{f: f, at: now}
	a.next = (a.next + 1) % maxRecentAnswers
}

// answeredAt returns when a request was answered whole, or zero.
func (a *recentAnswers) answeredAt(f Fingerprint) time.Time {
	for _, each := range a.list {
		if each.f == f {
			return each.at
		}
	}
	return time.Time{}
}
