package edge

import (
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/platform"
)

const (
	// rewriteTime is how long after the store's return from a copy operators and engines may take to write again what it lost.
	rewriteTime = 2 * time.Second

	// olderTime is how long an engine's state is kept of which the copy has an older one. An entry that nobody writes is gone
	// after three heartbeats, each about 1.2 s.
	olderTime = 6 * time.Second

	// missingShare is the share of the drain time for which an engine is kept that the copy lacks.
	missingShare = 0.9

	// evacuationTime is how long the copy's state of an evacuation is not believed where it differs from the known one.
	evacuationTime = 3 * time.Second

	// returnLifetime is how long peers are told of a return.
	returnLifetime = olderTime
)

// configCarry says what of the operators' table stays in force after a return. The configuration stays until one with the same or a later
// number is written.
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
	e.noteReturn(now)
	if r.Table != platform.TableConfig {
		return // Once for each return is enough.
	}
	for _, f := range e.onReturn {
		f()
	}
}

// rewritesHeld reports whether this node is the one that compares what is held with the rows after a return.
func (e *Edge) rewritesHeld(now time.Time) bool { return e.writesVersions(now, "held") }

// noteReturn records that the store came back at a time or shortly before.
func (e *Edge) noteReturn(at time.Time) {
	if known := e.returnedAt.Load(); known == nil || at.Sub(*known) > rewriteTime {
		e.returnedAt.Store(&at)
	}
}

// heardOfReturn records a return that a peer reports, for a node that has started since and knows only the copy.
func (e *Edge) heardOfReturn(now time.Time, s gossip.State) {
	if s.ReturnAgeMs <= 0 || s.Eras[platform.TableConfig] < e.store.Era() {
		return
	}
	at := now.Add(-ms(int(s.ReturnAgeMs)))
	if known := e.returnedAt.Load(); known != nil || now.Sub(at) > rewriteTime {
		return
	}
	e.returnedAt.Store(&at)
	e.proof.Invalidate(at.Add(rewriteTime))
}

// returnAgeMs returns how long ago the store came back, for peers; 0 if it did not lately.
func (e *Edge) returnAgeMs(now time.Time) int64 {
	at := e.returnedAt.Load()
	if at == nil || now.Sub(*at) > returnLifetime {
		return 0
	}
	return max(1, now.Sub(*at).Milliseconds())
}

// mayLackWrites reports whether what the store said at a time may lack what operators wrote before it came back from a copy: then it
// proves nothing about the configuration.
func (e *Edge) mayLackWrites(at time.Time) bool {
	returned := e.returnedAt.Load()
	return returned != nil && at.Before(returned.Add(rewriteTime))
}
