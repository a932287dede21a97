package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// Codes of requests that are refused because engines crashed while running them.
const (
	CodeCrashesEngines  = "crashes_engines"
	CodeMayCrashEngines = "may_crash_engines" // CodeMayCrashEngines means that it will soon be known whether a part of the prompt is the cause.
)

// maxOthersProbed bounds the engines that are asked whether this node reaches any besides one that seems to have crashed.
const maxOthersProbed = 8

// WithQuarantine makes a Front refuse requests and prompt parts under which engines have crashed. onCrash is called after each crash.
func WithQuarantine(q *quarantine.Quarantine, p *quarantine.Parts, onCrash func()) Option {
	return func(f *Front) { f.quarantine, f.parts, f.onCrash = q, p, onCrash }
}

// identify sets what tells whether two calls are the same.
func (c *call) identify(r *http.Request, target string) {
	c.fingerprint = quarantine.FingerprintOf(quarantine.FingerprintInput{Team: c.team.Name, Method: r.Method, Host: c.pool.Name, Target: target, Model: c.model, Body: c.body})
}

// refuseHeld returns the error for a call that is held or has a held prompt part, or nil if it may be sent.
func (f *Front) refuseHeld(now time.Time, c *call) *CallerError {
	if f.quarantine == nil {
		return nil
	}
	d := f.parts.Admit(now, c.partTrial, c.pool.Name, c.parts)
	if d.Trial {
		c.partTrial, c.trialBegan, c.trialSurvived = now, time.Time{}, false
	}
	if d.Held != nil {
		f.tele.Log.Info("held request refused", "request", c.id, "part", d.Held.Part.String(), "pool", c.pool.Name, "team", c.team.Name, "engines", d.Held.Engines(), "rivals", d.Held.Rivals)
		if d.RetryAfter > 0 {
			return &CallerError{Status: http.StatusServiceUnavailable, Code: CodeMayCrashEngines, Message: "engines crashed under a message of this prompt", RetryAfter: d.RetryAfter}
		}
		return &CallerError{Status: http.StatusBadRequest, Code: CodeCrashesEngines, Message: "engines crashed under a message of this prompt"}
	}
	if c.trial {
		return nil
	}
	held, trial := f.quarantine.Admit(now, c.fingerprint)
	c.trial = trial
	if held == nil {
		return nil
	}
	f.tele.Log.Info("held request refused", "request", c.id, "fingerprint", held.Fingerprint.String(), "pool", c.pool.Name, "team", c.team.Name, "engines", held.Engines())
	return &CallerError{Status: http.StatusBadRequest, Code: CodeCrashesEngines, Message: "engines crashed while running this request"}
}

// noteProgress clears the held prompt parts whose trial the call is, if its engine has been answering it for long enough.
func (f *Front) noteProgress(now time.Time, c *call) {
	switch {
	case c.partTrial.IsZero() || c.trialSurvived:
	case c.trialBegan.IsZero():
		c.trialBegan = now
	case now.Sub(c.trialBegan) >= quarantine.SurvivalTime:
		c.trialSurvived = true
		f.parts.TrialSurvives(now, c.pool.Name, c.parts)
	}
}

// endTrial ends the trial of held prompt parts, if the call is one. failed is set if its engine failed.
func (f *Front) endTrial(c *call, failed bool) {
	if !c.partTrial.IsZero() {
		c.partTrial = time.Time{}
		f.parts.EndTrial(clock.Now(), c.pool.Name, c.parts, failed)
	}
}

// beginRun records that an engine gets the call, and returns a function that records the end of its run.
func (f *Front) beginRun(now time.Time, c *call, e *config.Engine) (end func()) {
	if f.quarantine == nil {
		return func() {}
	}
	run := f.quarantine.BeginRun(now, c.fingerprint, e.Name)
	return func() { f.quarantine.EndRun(run) }
}

// recordTry records what the end of a try, sent at a time, shows of the call: a complete response, or the crash of its engine.
func (f *Front) recordTry(ctx context.Context, c *call, e *config.Engine, sent time.Time, status string, err error) {
	if f.quarantine == nil {
		return
	}
	c.trial = false
	broke := errors.Is(err, engine.ErrBroken) && status == broker.StatusFailed
	defer f.endTrial(c, broke)
	now := clock.Now()
	switch {
	case err == nil && !c.failed:
		f.quarantine.RecordAnswer(now, c.fingerprint, c.team.Name)
		f.parts.RecordAnswer(now, c.pool.Name, "", c.parts)
	case broke && f.crashed(ctx, c.pool.Name, e):
		ran := f.quarantine.Ran(now, c.fingerprint, e.Name)
		now = clock.Now()
		var resent time.Time
		if c.crashedEngine {
			resent = sent
		}
		c.crashedEngine = true
		f.tele.Log.Warn("engine failed while running request", "request", c.id, "fingerprint", c.fingerprint.String(), "pool", c.pool.Name, "team", c.team.Name, "engine", e.Name, "ended", true, "error", err.Error())
		f.quarantine.RecordRunCrash(now, c.fingerprint, quarantine.Subject{Team: c.team.Name, Route: c.pool.Name}, quarantine.Crash{Engine: e.Name, At: now, Ran: ran})
		f.parts.RecordCrash(now, resent, now, c.pool.Name, quarantine.EngineRun{ID: e.Name}, c.parts)
		f.onCrash()
	}
}

// crashed reports whether an engine refuses connections while another engine of the pool, if there is one, accepts them: to a node that is
// cut off all engines seem to have crashed.
func (f *Front) crashed(ctx context.Context, pool string, e *config.Engine) bool {
	ctx = context.WithoutCancel(ctx)
	if !f.engines.Refuses(ctx, e.Address) {
		return false
	}
	others := 0
	for _, o := range f.views.View().Engines(pool) {
		if o.Name == e.Name || others == maxOthersProbed {
			continue
		}
		if f.engines.Accepts(ctx, o.Address) {
			return true
		}
		others++
	}
	return others == 0
}
