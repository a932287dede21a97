package dispatch

import "github.com/croftturn/croftturn/internal/routing"

// continues reports whether the next attempt continues a stream of which the caller has events.
func (x *exchange) continues() bool {
	return x.route.Kind == routing.Stream && x.route.Resumable && x.lastEventID != ""
}

// logContinuation logs at which engine a stream continues.
func (x *exchange) logContinuation() {
	if !x.continues() {
		return
	}
	x.d.log.Info("stream continues", "request", x.req.ID, "resumes", x.req.Resumes, "after_event", x.lastEventID, "in_answer", x.answerBegun,
		"began_version", x.beganVersion, "engine", x.choice.Engine.ID, "version", x.choice.Engine.Version)
}
