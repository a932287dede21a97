package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

// silenceTime is how long a sound engine falls silent, and silenceMargin how long before it goes on its
// streams may not have moved yet.
const (
	silenceTime   = 1300 * time.Millisecond
	silenceMargin = 100 * time.Millisecond
)

// silence is a time in which a sound engine sent nothing.
type silence struct {
	engine string
	interval
}

// silenceEngine makes an engine fall silent for a moment and go on.
func silenceEngine(ctx context.Context, env *Environment, r *rand.Rand, _ time.Duration) error {
	e := env.reserveEngine(r)
	if e == nil {
		return nil
	}
	defer env.releaseEngine(e)
	env.mu.Lock()
	link := env.relays[e.id]
	env.mu.Unlock()
	e.lifecycleMu.Lock()
	defer e.lifecycleMu.Unlock()
	from := time.Now()
	link.Set(relay.HoldResponses)
	pause.For(ctx, silenceTime)
	env.ledger.recordSilence(silence{e.id, interval{from, time.Now()}})
	link.Set(relay.Pass)
	return nil
}

// recordSilence records that an engine was silent.
func (l *Ledger) recordSilence(s silence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silences = append(l.silences, s)
}

// movedFromSilent returns the resumable streams that left an engine which was silent for a moment, if
// there was no other fault of the engine, the nodes or the store.
func (l *Ledger) movedFromSilent(s silence) []string {
	from, to := s.from.Add(-recoveryTime), s.to.Add(-silenceMargin)
	if s.to.Sub(s.from) > silenceTime+silenceMargin || !l.faultFree(from, s.to) || l.hadOutage(s.engine, from, s.to) {
		return nil
	}
	var out []string
	for id, runs := range l.runs {
		if l.results[id].route != routeResumable || len(runs) < 2 || runs[0].engine != s.engine || runs[0].at.After(s.from) || l.hadOutage(l.senders[id].node, from, s.to) {
			continue
		}
		if second := runs[1]; second.at.After(s.from.Add(silenceMargin)) && second.at.Before(to) {
			out = append(out, fmt.Sprintf("resumable %s left %s %v after it fell silent", id, s.engine, second.at.Sub(s.from)))
		}
	}
	return out
}
