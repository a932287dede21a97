// Package admission decides at a request's arrival whether it can still be
// served on time. One that can't is refused at once, with the time after which
// the work before it will have been done, instead of being late behind others.
package admission

import "time"

const (
	// minRetryAfter is the shortest time that a caller is asked to wait.
	minRetryAfter = 200 * time.Millisecond

	// maxRetryAfter is the longest; callers heed at most a third of the time they
	// have, and the users' longest prompts have four seconds.
	maxRetryAfter = 1300 * time.Millisecond

	// retryTimeShare tells a request that was refused before: less of its time is
	// left than a first sending would have.
	retryTimeShare = 0.9

	// retryWaitFactor is how much more expected waiting a returned request is
	// taken with; refusing it again helps nobody.
	retryWaitFactor = 3.0

	// pressureWaitRatio is the patience to which that of higher tiers falls while all wait
	// long: then a request that waits for over its target makes those after it late as
	// well. Mean worth of four seeds with the fall and without: 0.644 and 0.631; of one
	// seed with other engines: 0.687 and 0.657.
	pressureWaitRatio = 0.8
)

// waitRatios is the expected wait that is still accepted, as a share of the
// target, by tier; tiers beyond the last have the last's. Higher tiers bear
// more, so that lower ones are refused before them; the highest is never refused.
var waitRatios = []float64{0, 1.5, 0.4}

// Request is what admission needs to know of a request.
type Request struct {
	Tier      int
	Target    time.Duration // Target for the answer or the first event.
	Timeout   time.Duration // Timeout is the time that a first sending has.
	Remaining time.Duration // Left of the caller's time.
	Wait      time.Duration // Wait is expected until the request's prompt is read.

	// LimitCap is the least limit of this request and of those that are more urgent, 0 where only its own counts.
	LimitCap time.Duration

	// Pressure is the share of the pool's newest requests that were expected to wait long.
	Pressure float64
}

// maxWaitRatio returns the expected wait that is still accepted, as a share of the target.
func (r *Request) maxWaitRatio() float64 {
	ratio := waitRatios[min(r.Tier, len(waitRatios)-1)]
	return ratio - r.Pressure*max(0, ratio-pressureWaitRatio)
}

// Limit returns the expected wait with which a request that comes for the first time is still taken; ok is false
// where any is.
func (r *Request) Limit() (limit time.Duration, ok bool) {
	if r.Tier <= 0 || r.Target <= 0 {
		return 0, false
	}
	return time.Duration(r.maxWaitRatio() * float64(r.Target)), true
}

// Decide reports whether the request is taken, and if not, when its caller
// should come back.
func Decide(r Request) (retryAfter time.Duration, ok bool) {
	limit, bounded := r.Limit()
	if !bounded {
		return 0, true
	}
	if r.LimitCap > 0 {
		limit = min(limit, r.LimitCap)
	}
	if r.Remaining < time.Duration(retryTimeShare*float64(r.Timeout)) {
		limit = time.Duration(retryWaitFactor * float64(limit))
	}
	if r.Wait <= limit {
		return 0, true
	}
	return min(max(r.Wait-limit/2, minRetryAfter), maxRetryAfter), false
}
