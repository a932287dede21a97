package pinning

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/fence"
	"github.com/croftturn/croftturn/internal/history"
)

const (
	// historyTable has one row for each pool with resumable streams.
	historyTable = "croftturn-versions"

	// soleTime is how long all streams of a pool must have begun at one version for one without a record
	// to have begun there: longer than any caller goes on taking a stream up.
	soleTime = 15 * time.Minute

	// settleTime is how long all engines of a pool must have had one version before that counts as its
	// only one again.
	settleTime = time.Minute

	// checkInterval is how often the rows are compared with the engines if nothing is known to differ.
	checkInterval = 5 * time.Second

	// writerDelay is how long at least the other nodes leave a change to the one that is chosen to write it:
	// a few messages from a hub to a spoke.
	writerDelay = 3 * time.Second

	// retryInterval is the pause after a call to the store that failed, and until a node looks again whether
	// it is chosen.
	retryInterval = 250 * time.Millisecond

	// maxObserved bounds the versions of a pool that are remembered.
	maxObserved = 8
)

var (
	// ErrSeveral is returned if the streams of a pool may have begun at several versions.
	ErrSeveral = errors.New("pinning: streams of the pool have begun at several versions")

	errClosed  = errors.New("pinning: closed")
	errUnheard = errors.New("pinning: engines of another version have joined")
)

type (
	// Store is the part of the platform's store that a History uses.
	Store interface {
		Range(ctx context.Context, table, part, from, to string, limit int) (snap feed.Snapshot, more bool, err error)
		Commit(ctx context.Context, tx feed.Tx) (at history.Position, err error)
	}

	// Engines knows the engines' versions.
	Engines interface {
		// Versions returns the software versions of a pool's engines, draining ones included.
		Versions(pool string) []string

		// Unheard reports whether the store has engines of a pool with another version which this node has not
		// heard of.
		Unheard(ctx context.Context, pool, version string) (bool, error)
	}

	// PoolVersion says at which versions the streams of a pool have begun, as stored.
	PoolVersion struct {
		_        struct{} `cbor:",toarray"`
		Pool     string
		Version  string // Version is the only one; it applies unless Several is set.
		Several  bool
		SinceMs  int64         // SinceMs is since when, on the store's clock; 0 for ever.
		Revision int64         // Revision is the row's version.
		Era      int64         `cbor:"-"` // Era is that of Revision; it is sent apart, since older releases take no further field.
		Written  int64         `cbor:"-"` // Written is the era in which the row was written; before Era, the row is of a copy.
		Age      time.Duration `cbor:"-"` // Age is how long ago this node learned of it; it is not sent.
	}

	// History knows at which versions the streams of each pool have begun, and keeps the rows that say so up
	// to date. Before a stream begins at a second version, the row says so.
	History struct {
		store      Store
		fence      *fence.Fence // fence makes writes fail that were sent before the store came back from a copy.
		engines    Engines
		pools      func() []string                       // pools returns the pools with resumable streams.
		isWriter   func(now time.Time, pool string) bool // isWriter reports whether this node is chosen to write a pool's row.
		firstStart bool                                  // firstStart is set at the first start of the whole system: no streams have begun.
		log        *slog.Logger
		wake       chan struct{}

		mu     sync.Mutex
		known  map[string]*poolState
		reads  map[string]*sharedRead
		closed bool
		wg     sync.WaitGroup // wg counts the reads.

		readCtx     context.Context // readCtx is that of the reads, which requests share.
		cancelReads context.CancelFunc
	}

	// poolState is what this node knows of one pool.
	poolState struct {
		row       PoolVersion // row has revision 0 while it is unknown.
		verify    bool        // verify is set until the row is read after the store has come back from a copy.
		learnedAt time.Time
		observed  []string      // observed are the versions of engines that this node has seen.
		changedAt time.Time     // changedAt is since when the row differs from what is observed; zero if it does not.
		patience  time.Duration // patience is how long after that this node changes the row though it is not chosen to.
		single    string        // single is the only version of the pool's engines since singleAt.
		singleAt  time.Time
	}

	// sharedRead is a read of a row that several requests wait for.
	sharedRead struct {
		startedAt time.Time
		done      chan struct{}
		row       PoolVersion
		nowMs     int64
		err       error
		unheard   error // unheard is set unless, after the read, this node had heard of all engines of other versions.
	}

	// historyRow is the stored form of a PoolVersion.
	historyRow struct {
		Version string `json:"version,omitempty"`
		Several bool   `json:"several,omitempty"`
		SinceMs int64  `json:"since_ms"`
		Era     int64  `json:"era,omitempty"`
	}
)

// NewHistory returns a History that knows nothing yet.
func NewHistory(store Store, engines Engines, pools func() []string, isWriter func(now time.Time, pool string) bool, firstStart bool, log *slog.Logger) *History {
	ctx, cancel := context.WithCancel(context.Background())
	return &History{readCtx: ctx, cancelReads: cancel, store: store, fence: fence.New(store), engines: engines, pools: pools, isWriter: isWriter, firstStart: firstStart, log: log, wake: make(chan struct{}, 1), known: map[string]*poolState{}, reads: map[string]*sharedRead{}}
}

// Observe records that an engine of a pool has a version.
func (h *History) Observe(pool, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(pool)
	if slices.Contains(s.observed, version) || len(s.observed) >= maxObserved {
		return
	}
	s.observed = append(s.observed, version)
	if s.row.Position() == (history.Position{}) || s.pending() {
		h.Wake()
	}
}

// Wake makes Run look at the rows now.
func (h *History) Wake() {
	select {
	case h.wake <- struct{}{}:
	default: // It has been woken already.
	}
}

// state returns the state of a pool. The caller holds the lock.
func (h *History) state(pool string) *poolState {
	if h.known[pool] == nil {
		h.known[pool] = &poolState{}
	}
	return h.known[pool]
}

// pending reports whether engines have a version that the row does not allow streams to begin at.
func (s *poolState) pending() bool {
	return s.row.Revision > 0 && !s.row.Several && s.observedOther(s.row.Version)
}

// observedOther reports whether this node has seen engines of another version than one.
func (s *poolState) observedOther(version string) bool {
	return slices.ContainsFunc(s.observed, func(v string) bool { return v != version })
}

// Established returns the only version at which streams of a pool may begin while its row has not been
// changed; ok is false if they may begin at any.
func (h *History) Established(pool string) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.known[pool]
	if s == nil || !s.pending() {
		return "", false
	}
	return s.row.Version, true
}

// Sole returns the version at which all streams of a pool that callers can still take up have begun. It
// reads the row anew, unless that is known to name several versions. A row that names one is not believed
// while engines of another may serve: streams begin there also while it can't be changed. The error is
// ErrSeveral or that of the store.
func (h *History) Sole(ctx context.Context, now time.Time, pool string) (version string, err error) {
	h.mu.Lock()
	several := h.state(pool).row.Several
	h.mu.Unlock()
	if several {
		return "", ErrSeveral
	}
	r, err := h.readSince(ctx, now, pool)
	if err != nil {
		return "", err
	}
	h.mu.Lock()
	s := h.state(pool)
	several = s.row.Several || s.pending()
	h.mu.Unlock()
	if several || r.row.copied() {
		return "", ErrSeveral
	}
	if r.unheard != nil {
		return "", r.unheard
	}
	if r.row.Revision == 0 || r.row.Several || r.row.SinceMs > 0 && r.nowMs-r.row.SinceMs < soleTime.Milliseconds() {
		return "", ErrSeveral
	}
	return r.row.Version, nil
}

// learn takes a row over if it is newer than the known one; revision 0 means that there is none.
func (h *History) learn(now time.Time, row PoolVersion) {
	versions := h.engines.Versions(row.Pool)
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state(row.Pool)
	row = combine(s.row, row)
	if row == s.row {
		return
	}
	h.log.Info("versions of a pool", "pool", row.Pool, "version", row.Version, "several", row.Several, "since_ms", row.SinceMs, "revision", row.Revision, "before", s.row.Revision)
	if s.row.Several && !row.Several {
		s.observed = versions // Engines of other versions have been gone for long.
	}
	s.row, s.learnedAt, s.changedAt, s.verify = row, now, time.Time{}, false
	if s.pending() || row.copied() {
		h.Wake()
	}
}

// GossipEntries returns the known rows, the newest first.
func (h *History) GossipEntries(now time.Time) []PoolVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []PoolVersion
	for _, s := range h.known {
		if s.row.Revision > 0 {
			row := s.row
			row.Age = now.Sub(s.learnedAt)
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b PoolVersion) int { return int(a.Age - b.Age) })
	return out
}

// MergeGossip takes over what a peer knows; eras are as Eras returns them.
func (h *History) MergeGossip(now time.Time, list []PoolVersion, eras map[string][2]int64) {
	for _, row := range list {
		row.Era, row.Written = eras[row.Pool][0], eras[row.Pool][1]
		h.learn(now, row)
	}
}

// Run keeps the rows up to date until the context ends.
func (h *History) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-timer.C:
		}
		next := checkInterval
		for _, pool := range h.pools() {
			next = min(next, h.update(ctx, clock.Now(), pool))
		}
		timer.Reset(next)
	}
}

// Close ends the calls to the store and waits for them.
func (h *History) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancelReads()
	h.wg.Wait()
}

// update compares the row of a pool with its engines, changes it if they differ, and returns when to look
// again.
func (h *History) update(ctx context.Context, now time.Time, pool string) (next time.Duration) {
	versions := h.engines.Versions(pool)
	h.mu.Lock()
	s := h.state(pool)
	wanted, differs := s.wanted(now, versions)
	differs = differs || s.verify
	if !differs {
		s.changedAt = time.Time{}
		h.mu.Unlock()
		return checkInterval
	}
	if s.changedAt.IsZero() {
		s.changedAt, s.patience = now, writerDelay+rand.N(writerDelay)
	}
	patient, before, verify := now.Sub(s.changedAt) < s.patience, s.row, s.verify
	h.mu.Unlock()
	if patient && !h.isWriter(now, pool) {
		return retryInterval
	}
	if verify {
		if _, err := h.readSince(ctx, now, pool); err != nil {
			h.log.Warn("cannot read the versions of a pool after the store's return; retrying", "pool", pool, "error", err.Error())
		}
		h.mu.Lock()
		s.verify = s.verify && s.row.Era == before.Era
		h.mu.Unlock()
		return retryInterval
	}
	if err := h.write(ctx, pool, before, wanted); err != nil {
		h.log.Warn("cannot store the versions of a pool; retrying", "pool", pool, "error", err.Error())
		return retryInterval
	}
	return checkInterval
}

// wanted returns the row that the engines of a pool call for, and whether it differs from the known one.
func (s *poolState) wanted(now time.Time, versions []string) (row PoolVersion, differs bool) {
	if len(versions) != 1 {
		s.single, s.singleAt = "", time.Time{}
	} else if s.singleAt.IsZero() || s.single != versions[0] {
		s.single, s.singleAt = versions[0], now
	}
	several := s.pending() || len(versions) > 1
	switch {
	case len(versions) == 0:
		return PoolVersion{}, false
	case s.row.copied() && (s.row.Revision > 0 || s.row.Several || s.row.Version != ""):
		several = several || s.row.Several || s.row.Version != versions[0]
		row = PoolVersion{Several: several, SinceMs: s.row.SinceMs}
		if !several {
			row.Version = s.row.Version
		}
		return row, true
	case s.row.Revision == 0:
		if len(versions) > 1 || s.observedOther(versions[0]) {
			return PoolVersion{Several: true}, true // Streams have begun at any of them meanwhile.
		}
		return PoolVersion{Version: versions[0]}, true
	case several:
		return PoolVersion{Several: true}, !s.row.Several
	case s.row.Several && now.Sub(s.singleAt) >= settleTime:
		return PoolVersion{Version: versions[0]}, true
	}
	return PoolVersion{}, false
}

// write changes the row of a pool, unless another node has.
func (h *History) write(ctx context.Context, pool string, before, wanted PoolVersion) error {
	r, err := h.readSince(ctx, clock.Now(), pool)
	if err != nil {
		return err
	}
	if r.row.Position() != before.Position() {
		return nil // The row that was read is known now; the next look decides by it.
	}
	wanted.Pool, wanted.Era, wanted.Written = pool, r.row.Era, r.row.Era
	if unchanged := before.copied() && !wanted.Several && wanted.Version == before.Version; !unchanged {
		wanted.SinceMs = max(r.nowMs, 1)
	}
	if h.firstStart && before.Revision == 0 && !wanted.Several {
		wanted.SinceMs = 0
	}
	value, err := json.Marshal(historyRow{Version: wanted.Version, Several: wanted.Several, SinceMs: wanted.SinceMs, Era: wanted.Written})
	if err != nil {
		return fmt.Errorf("encode versions of %s: %w", pool, err)
	}
	key := feed.Row{Table: historyTable, Key: pool, Version: before.Revision, Era: before.Era}
	at, err := h.fence.Commit(ctx, before.Era, "", feed.Tx{Expect: []feed.Row{key}, Put: []feed.Row{{Table: historyTable, Key: pool, Value: value}}})
	if err != nil {
		return fmt.Errorf("write versions of %s: %w", pool, err)
	}
	wanted.Revision, wanted.Era = at.Version, at.Era
	h.learn(clock.Now(), wanted)
	return nil
}
