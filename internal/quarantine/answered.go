package quarantine

import "time"

// maxRecentAnswers is how many fully answered requests are remembered per team. A request that makes up
// a thirtieth of its team's requests stays in the list. The list takes 1.2 KB of heap per team.
const maxRecentAnswers = 32

type (
	// recentAnswers is a ring buffer of a team's most recently answered requests.
	recentAnswers struct {
		list [maxRecentAnswers]recentAnswer
		next int // next is the index to overwrite next.
	}

	// recentAnswer is a request and the time of its latest complete answer.
	recentAnswer struct {
		f  Fingerprint
		at time.Time
	}
)

// add records that a request was answered completely, and overwrites the oldest entry if the request is new.
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

// answeredAt returns when a request was last answered completely, or the zero time.
func (a *recentAnswers) answeredAt(f Fingerprint) time.Time {
	for _, each := range a.list {
		if each.f == f {
			return each.at
		}
	}
	return time.Time{}
}
