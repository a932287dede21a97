package dispatch

import (
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// Engines of different software versions write streams that do not fit together. The first event that is
// passed on binds a stream to the version of its engine, and it continues only at engines of that version.

// origin is the software version that a stream is bound to.
type origin struct {
	version string
	bound   bool   // bound is unset until the first event is passed on.
	from    string // from says how this node knows the version: "answer" if it passed the first event on.
}

// fromAnswer means that this node passed the first event on in the present answer.
const fromAnswer = "answer"

// resumable reports whether the request is for a stream that may continue at another engine.
func (x *exchange) resumable() bool { return x.route.Kind == routing.Stream && x.route.Resumable }

// noteFirstPassedOn binds the stream to the version of the current engine, whose first event is passed on.
func (x *exchange) noteFirstPassedOn() {
	if !x.origin.bound {
		x.origin = origin{version: x.choice.Engine.Version, bound: true, from: fromAnswer}
	}
}

// restrictVersion restricts the input of placement to the version that the stream is bound to.
func (x *exchange) restrictVersion(r *placement.Request) {
	if x.resumable() && x.origin.bound {
		r.VersionBound, r.Version = true, x.origin.version
	}
}

// logContinuation logs at which engine a stream continues of which the caller has events.
func (x *exchange) logContinuation() {
	if !x.resumable() || x.lastEventID == "" {
		return
	}
	x.d.log.Info("stream continues", "request", x.req.ID, "resumes", x.req.Resumes, "after_event", x.lastEventID, "in_answer", x.answerBegun,
		"began_version", x.origin.version, "known_from", x.origin.from, "engine", x.choice.Engine.ID, "version", x.choice.Engine.Version)
}
