package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/reach"
)

const (
	// unconfirmedTTL is how long after a connection broke the engine's entry may show that it has crashed. Entries go some
	// seconds after their engines.
	unconfirmedTTL = 6 * time.Second

	// maxUnconfirmed bounds the failures that are remembered, at about 200 bytes each.
	maxUnconfirmed = 1024
)

// failedRun is a request whose engine failed while running it.
type failedRun struct {
	resent time.Time // resent is when the request was sent if another engine had crashed under it before, else zero.
	at     time.Time
	ran    time.Duration // ran is how long the engine had run the request or an equal one of this node.
	engine placement.Engine
	pool   string
	parts  []uint64

	reach *reach.Pool // reach is nil if the connectivity to engines is not monitored.

	fingerprint quarantine.Fingerprint
	subject     quarantine.Subject
}

// failedRun returns what is known of the request whose engine failed, and was found to have crashed at a time.
func (x *exchange) failedRun(failed, at time.Time) failedRun {
	f := failedRun{at: at, engine: x.choice.Engine, pool: x.pool, reach: x.reach, parts: x.req.Prompt.SharedIDs(), fingerprint: x.fingerprint, subject: quarantine.Subject{Team: x.teamName(), Route: x.route.Name}}
	if x.crashedEngine {
		f.resent = x.sentAt
	}
	if x.d.quarantine != nil {
		f.ran = x.d.quarantine.Ran(failed, x.fingerprint, x.choice.Engine.ID)
	}
	return f
}

// noteUnconfirmed remembers a failure whose engine may have crashed, since its machine does not respond or no engine accepts connections, until the
// entry of the engine shows whether it has.
func (x *exchange) noteUnconfirmed(now time.Time) {
	if x.d.parts == nil && x.d.quarantine == nil {
		return
	}
	c := &x.d.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for id, list := range c.unconfirmed {
		if now.Sub(list[len(list)-1].at) > unconfirmedTTL {
			delete(c.unconfirmed, id)
		}
		total += len(list)
	}
	if total < maxUnconfirmed {
		id := x.choice.Engine.ID
		c.unconfirmed[id] = append(c.unconfirmed[id], x.failedRun(now, now))
	}
}

// recordCrash records the crash of an engine under a request.
func (d *Dispatcher) recordCrash(now time.Time, f *failedRun) {
	if d.quarantine != nil {
		d.quarantine.RecordRunCrash(now, f.fingerprint, f.subject, quarantine.Crash{Engine: f.engine.ID, At: f.at, Ran: f.ran})
	}
	if d.parts != nil {
		d.parts.RecordCrash(now, f.resent, f.at, f.pool, quarantine.EngineRun{ID: f.engine.ID, Version: f.engine.Version, Incarnation: f.engine.Incarnation}, f.parts)
	}
}

// EngineGone records the crash of an engine whose entry is gone or tells of another start, if requests failed there shortly before. One
// that still accepts connections has left without notice. To a node that is partitioned from all engines, those that have left are silent.
func (d *Dispatcher) EngineGone(now time.Time, id string, restarted bool) {
	c := &d.crashes
	c.mu.Lock()
	list := c.unconfirmed[id]
	delete(c.unconfirmed, id)
	c.mu.Unlock()
	if len(list) == 0 || now.Sub(list[len(list)-1].at) > unconfirmedTTL {
		return
	}
	time.AfterFunc(0, func() {
		if !restarted && !c.hasCrashed(&list[0]) {
			return
		}
		now := clock.Now()
		for _, f := range list {
			d.log.Warn("engine crashed under a request that failed before", "engine", id, "restarted", restarted, "fingerprint", f.fingerprint.String(), "parts", partNames(f.parts), "ago_ms", now.Sub(f.at).Milliseconds())
			d.recordCrash(now, &f)
		}
	})
}

// hasCrashed reports whether an engine whose entry is gone has crashed: its machine refuses connections, or is silent while another engine
// of the pool accepts connections.
func (c *crashDetector) hasCrashed(f *failedRun) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if c.prober.Accepts(ctx, f.engine.Address) {
		return false
	}
	return f.reach == nil || c.prober.Ended(ctx, f.engine.Address) || f.reach.OthersAccept(context.Background(), f.engine.ID)
}
