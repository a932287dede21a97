package dispatch

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// Engines of different software versions write streams that do not fit together. The first event that is
// passed on binds a stream to the pool and version of its engine, and it continues only there, whichever
// node its caller takes it up at.

const (
	// fromAnswer means that this node passed the first event on in the present answer.
	fromAnswer pinning.Source = "answer"

	// fromHistory means that all streams of the pool began at one version.
	fromHistory pinning.Source = "history"

	// fromNode means that the node which forwarded the request knew it.
	fromNode pinning.Source = "node"
)

// refreshInterval is how often the record of a stream that runs on is refreshed: well within the time for
// which it is kept.
const refreshInterval = time.Minute

type (
	// Origins records where streams began and finds the records of all nodes.
	Origins interface {
		Record(ctx context.Context, now time.Time, s pinning.Stream, o pinning.Origin)
		Refresh(now time.Time, s pinning.Stream, f pinning.Found)

		// Find returns where a stream began. The error is pinning.ErrUnknown or pinning.ErrUnanswered.
		Find(ctx context.Context, now time.Time, s pinning.Stream) (pinning.Found, error)
	}

	// VersionHistory knows at which versions the streams of pools have begun.
	VersionHistory interface {
		// Established returns the only version at which streams of a pool may begin for now; ok is false
		// if they may begin at any.
		Established(pool string) (version string, ok bool)

		// Sole returns the version at which all streams of a pool have begun. The error is
		// pinning.ErrSeveral if there may be several.
		Sole(ctx context.Context, now time.Time, pool string) (version string, err error)
	}

	// ContinuationObserver counts the streams that callers take up, by what was decided.
	ContinuationObserver interface {
		Continued(pool, decision string)
	}

	// origin is the software version that a resumable stream is bound to.
	origin struct {
		pinning.Found
		stream      pinning.Stream
		named       bool      // named is set if the stream has a name that callers can take it up by.
		bound       bool      // bound is unset until the version is known.
		refreshedAt time.Time // refreshedAt is when the record was last written in this answer.
	}
)

// WithPinning makes a dispatcher record where streams begin, and continue them there.
func WithPinning(o Origins, h VersionHistory, c ContinuationObserver) Option {
	return func(d *Dispatcher) { d.origins, d.versions, d.continuations = o, h, c }
}

// resumable reports whether the request is for a stream that may continue at another engine.
func (x *exchange) resumable() bool { return x.route.Kind == routing.Stream && x.route.Resumable }

// takenUp reports whether the caller takes up a stream of which it has events.
func (x *exchange) takenUp() bool { return x.resumable() && x.req.LastEventID != "" }

// findOrigin finds where the stream began that the caller takes up, or returns a refusal.
func (x *exchange) findOrigin(ctx context.Context) *Refusal {
	if !x.resumable() || x.d.origins == nil {
		return nil
	}
	x.nameStream()
	if !x.takenUp() || x.origin.bound {
		return nil
	}
	now := clock.Now()
	found, err := pinning.Found{}, pinning.ErrUnknown
	if x.origin.named {
		found, err = x.d.origins.Find(ctx, now, x.origin.stream)
	}
	if err != nil || found.Origin == (pinning.Origin{}) {
		return x.bindByHistory(ctx, now, err)
	}
	if !x.route.HasPool(found.Pool) {
		return &Refusal{Reason: VersionGone}
	}
	x.bindTo(found)
	return nil
}

// bindTo binds the stream to the pool and version where it began.
func (x *exchange) bindTo(found pinning.Found) {
	x.origin.Found, x.origin.bound = found, true
	x.pool, x.reach = found.Pool, x.d.reachOf(found.Pool)
}

// nameStream sets the name of the stream: that of the attempt which brought its first event.
func (x *exchange) nameStream() {
	attempt := x.req.ID
	if x.takenUp() {
		attempt = x.req.Resumes
	}
	if x.origin.named = attempt != ""; x.origin.named {
		x.origin.stream = pinning.StreamOf(x.teamName(), attempt)
	}
}

// bindByHistory binds a stream without a record, if all streams of its pool began at one version. cause is
// why there is no record; nil if it does not tell streams apart.
func (x *exchange) bindByHistory(ctx context.Context, now time.Time, cause error) *Refusal {
	version, err := "", pinning.ErrSeveral
	if len(x.route.Shares) == 1 {
		version, err = x.d.versions.Sole(ctx, now, x.pool)
	}
	switch {
	case err == nil:
		x.origin.Found, x.origin.bound = pinning.Found{Origin: pinning.Origin{Pool: x.pool, Version: version}, From: fromHistory}, true
		return nil
	case errors.Is(cause, pinning.ErrUnanswered) || !errors.Is(err, pinning.ErrSeveral):
		return &Refusal{Reason: VersionUnanswered, RetryAfter: shortRetryAfter}
	}
	return &Refusal{Reason: VersionUnknown}
}

// notePassedOn records, before an event of a resumable stream is passed on, where the stream began. The
// node that the caller talks to does, also for what another node got from an engine.
func (x *exchange) notePassedOn(ctx context.Context, now time.Time) {
	if !x.origin.bound {
		at := pinning.Origin{Pool: x.choice.Engine.Pool, Version: x.choice.Engine.Version}
		x.origin.Found, x.origin.bound = pinning.Found{Origin: at, From: fromAnswer}, true
		if x.recordsOrigin() {
			x.d.origins.Record(ctx, now, x.origin.stream, at)
			x.origin.refreshedAt = now
		}
		return
	}
	if x.recordsOrigin() && now.Sub(x.origin.refreshedAt) >= refreshInterval {
		found := x.origin.Found
		found.Age += now.Sub(x.arrived)
		x.d.origins.Refresh(now, x.origin.stream, found)
		x.origin.refreshedAt = now
	}
}

// recordsOrigin reports whether this node records where the stream began.
func (x *exchange) recordsOrigin() bool {
	return x.d.origins != nil && x.origin.named && x.req.Forwarded == nil
}

// boundVersion returns the version that the stream is bound to, nil if none.
func (x *exchange) boundVersion() *string {
	if !x.resumable() || !x.origin.bound {
		return nil
	}
	return &x.origin.Version
}

// restrictVersion restricts the input of placement to the version that the stream is bound to, or at which
// streams of its pool may begin for now.
func (x *exchange) restrictVersion(r *placement.Request) {
	r.Resumable = x.resumable()
	switch {
	case !r.Resumable:
	case x.origin.bound:
		r.VersionBound, r.Version, r.MayLeave = true, x.origin.Version, true
	case x.d.versions != nil:
		r.Version, r.VersionBound = x.d.versions.Established(x.pool)
	}
}

// canMove returns a function that reports whether another engine may take over from the current one, for the
// time of this attempt. passedOn reports whether an event of the current engine was passed on.
func (x *exchange) canMove(passedOn func() bool) func(now time.Time) bool {
	d, request, bound, version := x.d, x.placementRequest(), x.origin.bound, x.choice.Engine.Version
	request.Avoid = maps.Clone(x.tried)
	unreachable := func() bool { return false }
	if x.mayForward() {
		unreachable = x.reach.Unreachable
	}
	return func(now time.Time) bool {
		r, begun := request, bound || passedOn()
		if r.Resumable && begun {
			r.VersionBound, r.Version, r.MayLeave = true, version, true
		}
		next, ok := d.pickEngine(now, r, begun)
		return ok && !next.Full && !next.AvailableAt.After(now) || unreachable() // Another node may reach them.
	}
}

// refuseGone returns the refusal of a stream whose version has no engines any more, or nil.
func (x *exchange) refuseGone(now time.Time) *Refusal {
	if !x.origin.bound || !x.d.placement.VersionGone(now, x.pool, x.origin.Version) {
		return nil
	}
	return &Refusal{Reason: x.unlessMayHaveRun(VersionGone)}
}

// noteContinuation logs, and counts for callers that take a stream up, what was decided on a stream of
// which the caller has events.
func (x *exchange) noteContinuation(decision string) {
	if !x.resumable() || x.lastEventID == "" {
		return
	}
	x.d.log.Info("stream continues", "request", x.req.ID, "resumes", x.req.Resumes, "after_event", x.lastEventID, "in_answer", x.answerBegun, "decision", decision,
		"pool", x.pool, "began_version", x.origin.Version, "known_from", x.origin.From, "age_ms", x.origin.Age.Milliseconds(), "engine", x.choice.Engine.ID, "version", x.choice.Engine.Version)
	if x.d.continuations != nil && x.takenUp() && !x.answerBegun {
		x.d.continuations.Continued(x.pool, decision)
	}
}
