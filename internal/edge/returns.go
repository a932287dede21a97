package edge

import (
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/croftturn/croftturn/platform"
)

const (
	// rewriteTime is how long after the store's return from a copy operators and engines may take to write again
	// what it lost.
	rewriteTime = 2 * time.Second

	// olderTime is how long an engine's state is kept of which the copy has an older one. An entry that nobody
	// writes is gone after three heartbeats, each about 1.2 s.
	olderTime = 6 * time.Second

	// missingShare is the share of the drain time for which an engine is kept that the copy lacks.
	missingShare = 0.9

	// evacuationTime is how long the copy's state of an evacuation is not believed where it differs from the known one.
	evacuationTime = 3 * time.Second

	// proofsTime is how long after that the store is asked for proofs every proofsInterval: nodes count the time to write
	// again from when they hear of the return, and the first proof may be from before its end at others.
	proofsTime     = time.Second
	proofsInterval = 200 * time.Millisecond

	// returnLifetime is how long peers are told of a return: most nodes that were away are back by then.
	returnLifetime = time.Minute
)

// storeReturn is the store's last return from a copy.
type storeReturn struct {
	at  time.Time // at is when it was first seen.
	era int64     // era is the era that it began.
}

// configCarry says what of the operators' table stays in force after a return. The configuration stays until one
// with the same or a later number is written.
func configCarry() feed.Carry {
	return feed.Carry{Compare: platform.CompareConfigs, Lasting: platform.IsConfig, Missing: evacuationTime, Older: evacuationTime}
}

// engineCarry says which engines stay in force after a return.
func engineCarry(s *settings.Settings) feed.Carry {
	return feed.Carry{Compare: platform.CompareEntries, Missing: min(rewriteTime, scaleMs(missingShare, s.EngineDrainMs)), Older: olderTime}
}

// storeReturned records that a table was taken over anew after the store came back from a copy.
func (e *Edge) storeReturned(now time.Time, r feed.Return) {
	e.returns.Add(1)
	e.log.Warn("store has come back from an older copy", "table", r.Table, "era", r.After.Era, "era_before", r.Before.Era, "version", r.After.Version, "version_before", r.Before.Version, "kept", r.Kept, "gone", r.Gone)
	e.noteReturn(now, r.After.Era)
	if r.Table != platform.TableConfig {
		return // Once for each return is enough.
	}
	for _, f := range e.onReturn {
		f()
	}
}

// rewritesHeld reports whether this node is the one that compares what is held with the rows after a return.
func (e *Edge) rewritesHeld(now time.Time) bool { return e.writesVersions(now, "held") }

// noteReturn records that the store came back to an era at a time or shortly before. Tables and peers that are
// later to see it change nothing.
func (e *Edge) noteReturn(at time.Time, era int64) {
	if known := e.returned.Load(); known == nil || known.era < era {
		e.returned.Store(&storeReturn{at: at, era: era})
		e.proof.Hold(at.Add(rewriteTime))
	}
}

// heardOfReturn records a return that a peer reports. What a node knows of the earlier era stays in force, and with
// it the proof; a node that has started since and knows only the copy has none.
func (e *Edge) heardOfReturn(now time.Time, s gossip.State) {
	era, known := s.Eras[platform.TableConfig], e.returned.Load()
	if s.ReturnAgeMs <= 0 || era < e.store.Era() || known != nil && known.era >= era {
		return
	}
	at := now.Add(-ms(int(s.ReturnAgeMs)))
	e.noteReturn(at, era)
	if own, loaded := e.configTable.Position(); (!loaded || own.Era >= era) && e.mayLackWrites(now) {
		e.proof.Invalidate(at.Add(rewriteTime))
	}
}

// storeRows returns, as rows for operators, each table with its position in the store's history and what it keeps
// of earlier eras.
func (e *Edge) storeRows(now time.Time) []wire.Row {
	var rows []wire.Row
	for _, t := range []*feed.Table{e.configTable, e.engineTable} {
		at, loaded := t.Position()
		r := wire.Row{Name: t.Name(), Count: t.Kept(), State: "not read", Reason: fmt.Sprintf("era %d, version %d; count is what is in force of earlier eras", at.Era, at.Version)}
		if loaded {
			r.State = "read"
		}
		if back := e.returned.Load(); back != nil {
			r.State, r.AgeMs = "came back from a copy", int(now.Sub(back.at).Milliseconds())
		}
		rows = append(rows, r)
	}
	return rows
}

// returnAgeMs returns how long ago the store came back, for peers; 0 if it did not lately.
func (e *Edge) returnAgeMs(now time.Time) int64 {
	known := e.returned.Load()
	if known == nil || now.Sub(known.at) > returnLifetime {
		return 0
	}
	return max(1, now.Sub(known.at).Milliseconds())
}

// mayLackWrites reports whether what the store said at a time may lack what operators wrote before it came back
// from a copy: then it proves nothing about the configuration.
func (e *Edge) mayLackWrites(at time.Time) bool { return e.rewriteLeft(at) > 0 }

// rewriteLeft returns how much is left of the time in which what the store lost is written again.
func (e *Edge) rewriteLeft(now time.Time) time.Duration {
	known := e.returned.Load()
	if known == nil {
		return 0
	}
	return max(0, known.at.Add(rewriteTime).Sub(now))
}

// proofWait returns how long this node waits until an answer of the store may prove the configuration.
func (e *Edge) proofWait(now time.Time) time.Duration {
	from := e.provenFrom.Load()
	if from == nil {
		return max(e.rewriteLeft(now), proofPollInterval)
	}
	return max(e.rewriteLeft(now), from.Sub(now))
}

// configWait returns how long a call for a newer configuration waits at the store: until its answer may be a proof
// again after a return, here or at other nodes, so that callers are not refused for longer.
func (e *Edge) configWait(now time.Time) time.Duration {
	left, known := e.proofWait(now), e.returned.Load()
	switch {
	case e.provenFrom.Load() == nil:
		return configLongPoll
	case left > 0:
		return min(configLongPoll, left+proofPollInterval)
	case known != nil && now.Before(known.at.Add(rewriteTime+proofsTime)):
		return proofsInterval
	}
	return configLongPoll
}
