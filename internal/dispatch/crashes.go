package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 16

// A request can crash the engine that runs it and is often sent again, to this node or another. So can
// a part of the prompt that requests share which differ otherwise. Each node therefore remembers under which
// requests and prompt parts engines crashed, tells its peers, and sends such requests to no more engines. With one such request every 0.15 s to three nodes in turn,
// engines crashed 40 times in six seconds without this and 3 times with it (six engines, restarted
// after 0.3 s; three runs each).

// WithQuarantine makes a dispatcher stop sending requests under which engines have crashed.
func WithQuarantine(q *quarantine.Quarantine) Option {
	return func(d *Dispatcher) { d.quarantine = q }
}

// WithParts makes a dispatcher stop sending requests with prompt parts under which engines have crashed.
func WithParts(p *quarantine.Parts) Option {
	return func(d *Dispatcher) { d.parts = p }
}

// refuseHeld returns the refusal of a request that is held in the quarantine or has a held prompt part, or nil if the request
// may be sent.
func (x *exchange) refuseHeld(now time.Time) *Refusal {
	if refusal := x.refuseHeldParts(now); refusal != nil {
		return refusal
	}
	if x.d.quarantine == nil || x.trial {
		return nil
	}
	held, trial := x.d.quarantine.Admit(now, x.fingerprint)
	x.trial = trial
	if held == nil {
		return nil
	}
	x.logHeld(now, held.Crashes, held.TrialAt, "fingerprint", held.Fingerprint.String(), "team", held.Team, "route", held.Route)
	return &Refusal{Reason: x.unlessMayHaveRun(CrashesEngines)}
}

// refuseHeldParts returns the refusal of a request with a held prompt part, or nil if the request may be sent.
func (x *exchange) refuseHeldParts(now time.Time) *Refusal {
	if x.d.parts == nil {
		return nil
	}
	decision := x.d.parts.Admit(now, x.partTrial, x.pool, x.req.Prompt.SharedIDs())
	if decision.Trial {
		x.partTrial = now
	}
	held := decision.Held
	if held == nil {
		return nil
	}
	x.logHeld(now, held.Crashes, held.TrialAt, "part", held.Part.String(), "pool", held.Pool, "rivals", held.Rivals, "team", x.teamName(), "route", x.route.Name, "come_back_ms", decision.RetryAfter.Milliseconds())
	if decision.RetryAfter > 0 {
		return &Refusal{Reason: x.unlessMayHaveRun(MayCrashEngines), RetryAfter: decision.RetryAfter}
	}
	return &Refusal{Reason: x.unlessMayHaveRun(CrashesEngines)}
}

// logHeld logs the refusal of a held request.
func (x *exchange) logHeld(now time.Time, crashes []quarantine.Crash, trialAt time.Time, what ...any) {
	engines := make([]string, 0, len(crashes))
	for _, c := range crashes {
		engines = append(engines, c.Engine)
	}
	x.d.log.Info("held request refused", append([]any{"request", x.req.ID, "engines", engines, "since_ms", now.Sub(crashes[0].At).Milliseconds(),
		"newest_ms", now.Sub(crashes[len(crashes)-1].At).Milliseconds(), "trial_in_ms", trialAt.Sub(now).Milliseconds()}, what...)...)
}

// trialBody is the body of an answer to the trial of held prompt parts.
type trialBody struct {
	io.ReadCloser
	began    time.Time           // began is when its first piece came.
	survived func(now time.Time) // survived is called with the first piece that comes quarantine.SurvivalTime later; nil after that.
}

// Read implements io.Reader.
func (b *trialBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 || err != nil || b.survived == nil {
		return n, err
	}
	now := clock.Now()
	switch {
	case b.began.IsZero():
		b.began = now
	case now.Sub(b.began) >= quarantine.SurvivalTime:
		b.survived(now)
		b.survived = nil
	}
	return n, err
}

// watchTrial makes the body of an answer clear the held prompt parts whose trial the request is once it has been written for long enough.
func (x *exchange) watchTrial(body io.ReadCloser) io.ReadCloser {
	if x.partTrial.IsZero() {
		return body
	}
	return &trialBody{ReadCloser: body, survived: func(now time.Time) { x.d.parts.TrialSurvives(now, x.pool, x.req.Prompt.SharedIDs()) }}
}

// endTrial ends the trial of held prompt parts, if the request is one.
func (x *exchange) endTrial() {
	if !x.partTrial.IsZero() {
		x.partTrial = time.Time{}
		x.d.parts.EndTrial(clock.Now(), x.pool, x.req.Prompt.SharedIDs(), x.mayHaveRun)
	}
}

// beginRun records that the current engine gets the request at a time, and no other one any longer.
func (x *exchange) beginRun(now time.Time) {
	if x.d.quarantine != nil {
		x.endRun()
		x.running = x.d.quarantine.BeginRun(now, x.fingerprint, x.choice.Engine.ID)
	}
}

// endRun records that the engine that got the request last does not run it any longer.
func (x *exchange) endRun() {
	if x.running != nil {
		x.d.quarantine.EndRun(x.running)
		x.running = nil
	}
}

// recordFailure records whether a failed engine crashed under the request. An engine that is still
// alive has most likely run the request, because connections can break and lose answers. With 18 in
// 100 answers lost, the usage counts of teams were off by 8 in 100 if these requests were not
// counted.
func (x *exchange) recordFailure(ctx context.Context, now time.Time, cause error) {
	ended := x.engineCrashed(ctx, now, cause)
	if ended {
		confirmed := clock.Now()
		f := x.failedRun(now, confirmed)
		x.d.recordCrash(confirmed, &f)
	}
	x.crashedEngine = x.crashedEngine || ended
	if !ended && !x.headReceived && ctx.Err() == nil {
		x.d.observer.Began(now, x.teamName())
	}
}

// recordAnswer records that an engine answered the request completely. A server error does not
// count: the engine may have failed before it ran the request. Only a success is known to be written
// by a model that has read the prompt.
func (x *exchange) recordAnswer(now time.Time) {
	if x.d.quarantine != nil && x.status < http.StatusInternalServerError {
		x.d.quarantine.RecordAnswer(now, x.fingerprint, x.teamName())
	}
	if x.d.parts != nil && x.status < http.StatusMultipleChoices {
		x.d.parts.RecordAnswer(now, x.pool, x.choice.Engine.Version, x.req.Prompt.SharedIDs())
	}
}

// fingerprintOf returns the fingerprint that identifies equal requests of a team.
func fingerprintOf(r *Request, team string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.FingerprintInput{Team: team, Method: r.Method, Host: r.Host, Target: r.Target, Model: r.RequestedModel, Body: r.Body})
}

// engineCrashed determines whether an engine that failed has terminated unexpectedly while it ran
// the request. Broken or silent connections and the shutdown of an engine that had announced it do
// not count, nor does one that may have cut off an answer which was not read: since then it may have
// ended for any reason.
func (x *exchange) engineCrashed(ctx context.Context, now time.Time, cause error) bool {
	d, engine := x.d, x.choice.Engine
	restarted := errors.Is(context.Cause(ctx), errEngineRestarted)
	broke := ctx.Err() == nil && !errors.Is(cause, ErrMismatchedResponse)
	if d.crashes.prober == nil || !restarted && !broke || d.placement.Leaving(engine.ID) || x.gaveUp(now) {
		return false
	}
	ended, took := restarted, time.Duration(0)
	if !restarted {
		ended, took = x.probeEngine(ctx, now)
		if ended {
			x.call.EngineDown(clock.Now())
		}
	}
	d.log.Log(ctx, crashLogLevel(ended), "engine failed while running request", "request", x.req.ID, "fingerprint", x.fingerprint.String(), "route", x.route.Name, "team", x.teamName(),
		"engine", engine.ID, "ended", ended, "restarted", restarted, "parts", partNames(x.req.Prompt.SharedIDs()), "begun", x.headReceived, "unframed", x.unframed, "after_ms", now.Sub(x.sentAt).Milliseconds(), "probe_ms", took.Milliseconds(), "error", cause.Error())
	if ended {
		d.observer.EngineCrashed(x.pool)
	} else {
		x.noteUnconfirmed(now)
	}
	return ended
}

// probeEngine reports whether the engine has ended, and how long it took to find out. To a node that is partitioned
// from all engines each of them seems to have ended.
func (x *exchange) probeEngine(ctx context.Context, now time.Time) (ended bool, took time.Duration) {
	engine := x.choice.Engine
	probe := x.d.crashes.probe(ctx, now, now.Add(-probeTTL), engine.Address)
	return probe.ended && (x.reach == nil || x.reach.OthersAccept(context.WithoutCancel(ctx), engine.ID)), probe.took
}

// engineEnded reports whether the engine has ended by the time that its answer has, with or without notice. No other engine is asked:
// a node that has just got the end of an answer is not partitioned. That the engine was alive before the end says nothing.
func (x *exchange) engineEnded(ctx context.Context, now time.Time) bool {
	if x.d.crashes.prober == nil {
		return false
	}
	return x.d.crashes.probe(ctx, now, now, x.choice.Engine.Address).ended
}

// partNames returns the first maxLoggedParts shared parts of a prompt, as in log lines.
func partNames(ids []uint64) []string {
	names := make([]string, 0, min(len(ids), maxLoggedParts))
	for _, id := range ids[:min(len(ids), maxLoggedParts)] {
		names = append(names, fmt.Sprintf("%016x", id))
	}
	return names
}

// crashLogLevel returns the level at which an engine failure is logged.
func crashLogLevel(ended bool) slog.Level {
	if ended {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}
