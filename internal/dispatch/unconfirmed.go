package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
)

const (
	// unconfirmedTTL is how long after a connection broke the engine's entry may show that it has crashed. Entries go some
	// seconds after their engines.
	unconfirmedTTL = 6 * time.Second

	// maxUnconfirmed bounds the failures that are remembered, at about 200 bytes each.
	maxUnconfirmed = 1024
)

// unconfirmedCrash is a failed request whose engine may have crashed: its machine does not respond, or no engine responds.
type unconfirmedCrash struct {
	resent time.Time // resent is when the request was sent if another engine had crashed under it before, else zero.
	at     time.Time
	engine placement.Engine
	pool   string
	parts  []uint64
}

// noteUnconfirmed remembers a failure until the entry of the engine shows whether it has crashed.
func (x *exchange) noteUnconfirmed(now time.Time) {
	parts := x.req.Prompt.SharedIDs()
	if x.d.parts == nil || len(parts) == 0 {
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
		c.unconfirmed[id] = append(c.unconfirmed[id], unconfirmedCrash{x.resentAt(), now, x.choice.Engine, x.pool, parts})
	}
}

// EngineGone records the crash of an engine whose entry is gone or tells of another start, if requests failed there shortly before. One
// that still accepts connections has left without notice.
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
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !restarted {
			if accepts, _ := c.prober.Probe(ctx, list[0].engine.Address); accepts {
				return
			}
		}
		now := clock.Now()
		for _, f := range list {
			d.log.Warn("engine crashed under a request that failed before", "engine", id, "restarted", restarted, "parts", partNames(f.parts), "ago_ms", now.Sub(f.at).Milliseconds())
			d.parts.RecordCrash(now, f.resent, f.at, f.pool, quarantine.EngineRun{ID: id, Version: f.engine.Version, Incarnation: f.engine.Incarnation}, f.parts)
		}
	})
}
