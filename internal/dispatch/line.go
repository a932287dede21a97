package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/admission"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// returnShare is the longest time to come back, as a share of the time that a caller
	// waits: they heed a third of what they have left.
	returnShare = 0.33

	// linePoll is how often the first request of a line looks for a place: well below
	// the 100 ms after which peers hear of a place that this node's own request left.
	linePoll = 5 * time.Millisecond

	// lineShare is how long a request waits for a place, as a share of its target: the rest
	// is for reading its prompt.
	lineShare = 0.75

	// preferredWait is how long a request waits for a place at the engine that suits it best,
	// such as the one that has its prompt cached; later any place will do. It is about what
	// an engine takes to read a long shared prompt.
	preferredWait = 80 * time.Millisecond

	// everyShare is the weight of the newest place in the time from one to the next.
	everyShare = 0.1

	// urgencies is how many places in the order of requests there are.
	urgencies = 10

	// lineTiers is how many tiers are told apart in a line.
	lineTiers = 4
)

type (
	// lines are the lines of all pools.
	lines struct {
		mu    sync.Mutex
		pools map[string]*line
	}

	// line holds the requests of one pool that wait at this node, not in an engine's queue,
	// for a place at an engine: the highest tier first, and within a tier the shortest
	// answers. With 20 places an engine, 431 requests of a day of 2,800 were put back for
	// more urgent ones, 72 of them while less urgent ones ran on; with the line 0 to 58 on
	// five such days.
	line struct {
		mu      sync.Mutex
		waiting []*waiter
		limits  [lineTiers]time.Duration // limits are how long requests of each tier may wait; 0 where none came yet.
		borne   [urgencies]time.Duration // borne are the waits with which admission took requests of each urgency last; 0 where none came yet.
		every   time.Duration            // every is the usual time from one place to the next while requests wait.
		since   time.Time                // since is when the newest place was found, or the line began.
		tiers   [lineTiers]tierCount     // tiers tells how the requests of each tier of routes fared.
		peers   map[string]told          // peers holds what each peer told last.

		pressure admission.Pressure // pressure is of the waits that were expected for the pool's requests; it has a lock of its own.
	}

	// waiter is one request in a line.
	waiter struct {
		tier   int
		tokens int // tokens are those expected of the answer.
	}
)

// newLine returns an empty line.
func newLine(now time.Time) *line {
	l := &line{peers: map[string]told{}}
	for tier := range l.tiers {
		l.tiers[tier] = newTierCount(now)
	}
	return l
}

// of returns a pool's line.
func (l *lines) of(now time.Time, pool string) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		l.pools = map[string]*line{}
	}
	if l.pools[pool] == nil {
		l.pools[pool] = newLine(now)
	}
	return l.pools[pool]
}

// empty reports whether nobody waits who goes before a request of a tier.
func (l *line) empty(tier int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) == 0 || l.waiting[0].tier > tier
}

// limit returns how long a request of a tier with a target may wait: no longer than any
// higher tier, so that it is not served where those were refused.
func (l *line) limit(tier int, target time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return leastUpTo(l.limits[:], min(tier, lineTiers-1), time.Duration(lineShare*float64(target)))
}

// leastUpTo records the limit of one place in an order, and returns the least of it and of those before it. A place of which
// none is known yet has 0.
func leastUpTo(limits []time.Duration, at int, limit time.Duration) time.Duration {
	limits[at] = limit
	for _, higher := range limits[:at] {
		if higher > 0 {
			limit = min(limit, higher)
		}
	}
	return limit
}

// bears takes the wait with which admission takes a request of an urgency, and returns the least of it and of those that are more
// urgent: by its own target alone a long prompt was taken at waits with which short ones of a higher tier were refused.
// With this, and with refusals at arrival counted as places that lack, 183 of 190 short requests began where none did, beside
// prompts five times as long, at 1.7 times what the engines read.
func (l *line) bears(urgency int, limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return leastUpTo(l.borne[:], urgency, limit)
}

// join puts a request into the line, unless those before it are expected to take longer
// than it may wait.
func (l *line) join(now time.Time, tier, tokens int, limit time.Duration) (w *waiter, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.since = now
	}
	w = &waiter{tier: tier, tokens: tokens}
	at := len(l.waiting)
	for at > 0 && w.before(l.waiting[at-1]) {
		at--
	}
	if time.Duration(at)*l.every > limit {
		return nil, false
	}
	l.waiting = slices.Insert(l.waiting, at, w)
	return w, true
}

// before reports whether a request goes before another: that of the higher tier, and
// within a tier the one whose answer is expected to be shorter, since it leaves its place
// to others sooner.
func (w *waiter) before(o *waiter) bool {
	if w.tier != o.tier {
		return w.tier < o.tier
	}
	return w.tokens < o.tokens
}

// first reports whether a request is the first of the line.
func (l *line) first(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[0] == w
}

// leave takes a request out of the line, with a place or without.
func (l *line) leave(now time.Time, w *waiter, placed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.Index(l.waiting, w)
	l.waiting = slices.Delete(l.waiting, at, at+1)
	if placed {
		l.every += time.Duration(everyShare * float64(now.Sub(l.since)-l.every))
		l.since = now
	}
}

// awaitPlace waits at this node until an engine has a place free. A request that waits
// in an engine's queue can't be refused truthfully any more, and takes the place of one
// that runs where it is more urgent.
func (w *walk) awaitPlace(ctx context.Context, now time.Time, request placement.Request) *Refusal {
	l := w.d.lines.of(now, w.pool)
	if w.route.Target <= 0 {
		return nil
	}
	l.arrived(now, w.route.Tier, readingTime(w.choice))
	w.highest, w.giveWay = l.standing(now, w.route.Tier, w.choice)
	if rand.Float64() < w.giveWay {
		l.count(now, w.route.Tier, false, false) // Tiers below it give way to it as well.
		return &Refusal{Reason: Busy, ComeBack: w.comeBack()}
	}
	limit := l.limit(w.tier(), w.route.Target)
	placed := w.mayBegin(w.choice) && l.empty(w.tier()) || w.wait(ctx, now, l, limit, request)
	now = clock.Now()
	if w.callerLeft(ctx) {
		return &Refusal{Reason: CallerLeft} // It lacked no place: it may have left before one got free.
	}
	if !placed {
		l.count(now, w.route.Tier, false, false)
		return &Refusal{Reason: Busy, ComeBack: w.comeBack()}
	}
	comeBack, admitted := w.admit(now, w.choice)
	l.count(now, w.route.Tier, admitted, w.held <= limit)
	if !admitted {
		return &Refusal{Reason: Busy, ComeBack: comeBack}
	}
	return nil
}

// mayBegin reports whether the request may take a place at an engine. Lower tiers leave the
// last places of a pool to the highest: those that have begun keep theirs for seconds.
func (w *walk) mayBegin(c placement.Choice) bool {
	return c.SlotAvailable && !(c.SlotsReserved && !w.highest)
}

// comeBack returns when a caller should come back that found no place: as late as it can,
// since places lack for seconds, and spread, so that not all come back at once.
func (w *walk) comeBack() time.Duration { return w.comeBackAfter(0) }

// comeBackAfter returns when a caller should come back for whom no place gets free before a time has passed.
func (w *walk) comeBackAfter(least time.Duration) time.Duration {
	longest := time.Duration(returnShare * float64(w.deadline.Sub(w.arrived)))
	from := min(max(least, longest/2), longest*3/4)
	return from + rand.N(longest-from+1)
}

// wait waits in a line and reports whether a place was found.
func (w *walk) wait(ctx context.Context, now time.Time, l *line, limit time.Duration, request placement.Request) (placed bool) {
	if w.highest && l.yielded(now, w.route.Tier) {
		limit = max(limit, w.deadline.Sub(now)-w.route.Target)
	}
	place, ok := l.join(now, w.tier(), w.req.ExpectedTokens, limit)
	if !ok {
		return false
	}
	placed = w.hold(ctx, now, l, place, limit, request)
	l.leave(clock.Now(), place, placed)
	w.held = clock.Since(now)
	return placed
}

// hold looks for a place until a limit, while the request is the first of its line.
func (w *walk) hold(ctx context.Context, begin time.Time, l *line, place *waiter, limit time.Duration, request placement.Request) bool {
	for now := begin; now.Sub(begin) < limit && ctx.Err() == nil; now = clock.Now() {
		if l.first(place) {
			request.NeedSlot = now.Sub(begin) > preferredWait
			choice, ok := w.place(now, request)
			if ok && w.mayBegin(choice) {
				w.choice = choice
				return true
			}
			if !ok && (choice.Engines == 0 || choice.AvailableAt.Sub(begin) > limit) {
				return false // Nothing is left to wait for.
			}
		}
		pause.For(ctx, linePoll)
	}
	return false
}
