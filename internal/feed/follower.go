package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// MethodTable is the peer method that takes a TableRequest.
	MethodTable = "table"

	// pullTimeout limits one such call to the time that the store's largest reply takes over a
	// 10 Mbit/s link. PullIdleTimeout ends a call to a silent peer.
	pullTimeout = 7 * time.Second

	// PullIdleTimeout is how long a peer may send nothing during such a call: twice the time that a
	// call may wait there for a reply slot. A slow pull is not cut short, since all of it would have
	// to be sent again: with a limit of one second, pulls of 0.75 MB from small nodes failed 454
	// times in 10 s and kept those nodes busy.
	PullIdleTimeout = 500 * time.Millisecond

	// busyRetryDelay is the typical delay after a busy reply: a reply of 80 KB takes 66 ms over
	// 10 Mbit/s, after which a reply slot is free.
	busyRetryDelay = 50 * time.Millisecond

	// keptInterval is the shortest time between two calls for what peers keep of a table.
	keptInterval = 500 * time.Millisecond

	// slowPull and largePullBytes are the thresholds from which a successful pull is logged;
	// a typical one takes a few milliseconds and carries a few engines.
	slowPull       = 250 * time.Millisecond
	largePullBytes = 64 << 10
)

type (
	// Caller calls peers.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// TableRequest asks a peer for the changes in a table.
	TableRequest struct {
		Table             string `json:"t"`
		After             int64  `json:"a"`           // After is the requester's version; -1 for the full table.
		Era               int64  `json:"e,omitempty"` // Era is that of After.
		AcceptsEra        bool   `json:"x,omitempty"` // AcceptsEra is set if the requester orders versions by era; older peers do not.
		AcceptsCompressed bool   `json:"p,omitempty"` // AcceptsCompressed is set if the requester accepts compressed rows; older peers do not.
		AcceptsBundle     bool   `json:"b,omitempty"` // AcceptsBundle is set if the requester accepts a bundle; older peers do not.
		Requester         string `json:"f,omitempty"` // Requester is the requester's address, to which later requesters may be redirected.
	}

	// TableReply is a peer's reply to a TableRequest.
	TableReply struct {
		Rows    []PeerRow `json:"r,omitempty"`
		Bundle  []byte    `json:"z,omitempty"` // Bundle holds the rows, compressed together, in place of Rows.
		Latest  int64     `json:"l"`           // Latest is the newest version among the peer's rows.
		Era     int64     `json:"e,omitempty"` // Era is that of the rows.
		Base    int64     `json:"h,omitempty"` // Base is the version at which the peer first read the table in this era.
		Kept    []KeptRow `json:"k,omitempty"` // Kept holds what the peer keeps in force of earlier eras.
		Full    bool      `json:"w,omitempty"` // Full is set if the reply holds the full table.
		Busy    bool      `json:"b,omitempty"` // Busy is set if the peer has no reply slot free; Rows is empty.
		Holders []string  `json:"o,omitempty"` // Holders are addresses of nodes to which a busy peer has sent the table.

		// MaxAgeMs is the most milliseconds for which the store may have had the rows newer than the
		// requester's version; 0 if unknown.
		MaxAgeMs int64 `json:"g,omitempty"`
	}

	// Follower fetches tables from peers that announce newer versions.
	Follower struct {
		self   string // self is the address at which peers reach this node.
		caller Caller
		log    *slog.Logger
		wg     sync.WaitGroup
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		tables  map[string]*Table
		sources map[string]map[string]candidate // sources holds, for each table being fetched, the candidate peers.
		askedAt map[string]time.Time            // askedAt is when a peer was last asked for what it keeps of a table.
		limiter *replyLimiter

		served, fetched, failed atomic.Int64
	}

	// candidate is what a peer announced of a table.
	candidate struct {
		at   history.Position
		kept bool // kept is set if the peer is to be asked for what it keeps, even if it has no newer rows.
	}

	// PullStats counts table transfers between peers.
	PullStats struct {
		Served  int64 // Served counts tables sent to peers.
		Fetched int64 // Fetched counts tables received from peers.
		Failed  int64 // Failed counts failed fetches.
	}
)

// busyError reports that a peer has no reply slot free.
type busyError struct {
	at      history.Position // at is the peer's position of the table.
	holders []string         // holders have that position, too.
}

// Error implements error.
func (e *busyError) Error() string { return "peer is busy with other replies" }

// NewFollower returns a follower of the given tables; self is the address at which peers call it.
func NewFollower(self string, caller Caller, log *slog.Logger, tables ...*Table) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{self: self, caller: caller, log: log, ctx: ctx, cancel: cancel, tables: map[string]*Table{}, sources: map[string]map[string]candidate{}, askedAt: map[string]time.Time{}, limiter: newReplyLimiter()}
	for _, t := range tables {
		f.tables[t.Name()] = t
	}
	return f
}

// Observe starts a fetch of each table of which the peer announces a later position, or of which it keeps other
// rows of earlier eras.
func (f *Follower) Observe(now time.Time, address string, a Announcement) {
	for name := range a.Versions {
		t := f.tables[name]
		if t == nil {
			continue
		}
		theirs := candidate{at: a.Position(name)}
		mine, loaded := t.Position()
		if a.Kept[name] != 0 && theirs.at.Era == mine.Era && a.Kept[name] != t.keptDigest() {
			theirs.kept = f.mayAskKept(now, name)
		}
		if !loaded || theirs.at.After(mine) || theirs.kept {
			f.pull(address, t, theirs)
		}
	}
}

// mayAskKept reports whether a peer may be asked for what it keeps of a table, and records that one is.
func (f *Follower) mayAskKept(now time.Time, table string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.askedAt[table]) < keptInterval {
		return false
	}
	f.askedAt[table] = now
	return true
}

// pull starts fetching a table from a peer. If a fetch is running already, the peer is
// added to its candidates.
func (f *Follower) pull(address string, t *Table, theirs candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil {
		return
	}
	sources := f.sources[t.Name()]
	if sources != nil {
		sources[address] = theirs
		return
	}
	f.sources[t.Name()] = map[string]candidate{address: theirs}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		for f.pullOnce(t) {
		}
	}()
}

// pullOnce fetches a table from one of the peers with a newer version and reports whether
// to continue. A peer that failed is asked again after its next announcement.
func (f *Follower) pullOnce(t *Table) bool {
	address, ok := f.nextSource(t)
	if !ok {
		return false
	}
	begin := clock.Now()
	err := f.fetch(address, t, begin)
	var busy *busyError
	switch {
	case errors.As(err, &busy):
		f.addSources(t, busy.at, append(busy.holders, address))
		pause.Jittered(f.ctx, busyRetryDelay)
	case err != nil && f.ctx.Err() == nil:
		f.failed.Add(1)
		f.log.Warn("failed to fetch table from peer", "table", t.Name(), "peer_address", address, "ms", clock.Since(begin).Milliseconds(), "error", err.Error())
	}
	return true
}

// nextSource removes and returns a random peer among those with a newer version of a table.
// If there is none, the fetch is over.
func (f *Follower) nextSource(t *Table) (address string, ok bool) {
	mine, loaded := t.Position()
	f.mu.Lock()
	defer f.mu.Unlock()
	sources := f.sources[t.Name()]
	for address, theirs := range sources { // Map iteration order is random.
		delete(sources, address)
		if f.ctx.Err() == nil && (!loaded || theirs.at.After(mine) || theirs.kept) {
			return address, true
		}
	}
	delete(f.sources, t.Name())
	return "", false
}

// addSources adds peers that have a position of a table being fetched.
func (f *Follower) addSources(t *Table, at history.Position, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		if address != f.self {
			f.sources[t.Name()][address] = candidate{at: at}
		}
	}
}

// fetch requests a table from a peer and applies the reply.
func (f *Follower) fetch(address string, t *Table, begin time.Time) error {
	ctx, cancel := context.WithTimeout(f.ctx, pullTimeout)
	defer cancel()
	req := TableRequest{Table: t.Name(), After: -1, AcceptsCompressed: true, AcceptsBundle: true, AcceptsEra: true, Requester: f.self}
	if last, ok := t.Position(); ok {
		req.After, req.Era = last.Version, last.Era
	}
	var reply TableReply
	if err := f.caller.Call(ctx, address, MethodTable, &req, &reply); err != nil {
		return fmt.Errorf("request table: %w", err)
	}
	if reply.Busy {
		return &busyError{at: reply.position(), holders: reply.Holders}
	}
	rows, err := reply.decodeRows()
	if err != nil {
		return fmt.Errorf("decode table: %w", err)
	}
	now := clock.Now()
	f.recordFetch(t, address, &reply, len(rows), now.Sub(begin))
	u := update{rows: rows, at: reply.position(), base: reply.Base, acceptedAfter: reply.acceptedAfter(begin)}
	if reply.Full {
		t.replaceFromReply(now, u, &reply)
	} else {
		t.apply(now, u)
	}
	t.mergeKept(now, reply.Era, reply.Kept)
	return nil
}

// position returns the position of the peer's newest row.
func (r *TableReply) position() history.Position {
	return history.Position{Era: r.Era, Version: r.Latest}
}

// recordFetch counts a successful fetch and logs a slow or large one.
func (f *Follower) recordFetch(t *Table, address string, reply *TableReply, rows int, after time.Duration) {
	f.fetched.Add(1)
	bytes := reply.payloadSize()
	if after >= slowPull || bytes >= largePullBytes {
		f.log.Info("fetched table from peer", "table", t.Name(), "peer_address", address, "rows", rows, "bytes", bytes, "ms", after.Milliseconds())
	}
}

// PullStats returns the counts so far.
func (f *Follower) PullStats() PullStats {
	return PullStats{Served: f.served.Load(), Fetched: f.fetched.Load(), Failed: f.failed.Load()}
}

// HandleTable is the handler of MethodTable. A large reply waits for a reply slot.
func (f *Follower) HandleTable(ctx context.Context, req *TableRequest) (any, error) {
	t := f.tables[req.Table]
	if t == nil {
		return nil, fmt.Errorf("no table %q", req.Table)
	}
	cached, err := buildReply(t, req)
	if err != nil {
		return nil, err
	}
	reply := &TableReply{}
	*reply = *cached
	now := clock.Now()
	reply.MaxAgeMs = t.maxAgeMs(now, history.Position{Era: req.Era, Version: req.After})
	if req.AcceptsEra {
		reply.Kept, reply.Base = t.keptForPeers(now)
	}
	if reply.payloadSize() < largeReplyBytes {
		f.served.Add(1)
		return reply, nil
	}
	v := tablePosition{table: req.Table, at: reply.position()}
	if ok, holders := f.limiter.acquire(ctx, v); !ok {
		return &TableReply{Latest: reply.Latest, Era: reply.Era, Busy: true, Holders: holders}, nil
	}
	f.served.Add(1)
	return &largeReply{TableReply: reply, sent: func() { f.limiter.release(v, req.Requester) }}, nil
}

// buildReply returns a table's reply to a request.
func buildReply(t *Table, req *TableRequest) (*TableReply, error) {
	after := history.Position{Era: req.Era, Version: req.After}
	if !req.AcceptsEra && req.After >= 0 {
		if at, ok := t.Position(); ok {
			after.Era = at.Era // An older release takes versions of all eras for those of one.
		}
	}
	if req.AcceptsBundle {
		return t.bundledSince(after)
	}
	reply, err := changesSince(t, after)
	if err != nil {
		return nil, err
	}
	if req.AcceptsCompressed {
		return reply, nil
	}
	rows, err := decompressRows(reply.Rows)
	if err != nil {
		return nil, err
	}
	for i := range rows {
		rows[i].Compressed = nil
	}
	reply.Rows = rows
	return reply, nil
}

// changesSince returns the changes in a table after a position, or the full table if the
// history does not reach back that far. A negative version stands for the full table.
func changesSince(t *Table, after history.Position) (*TableReply, error) {
	if after.Version >= 0 {
		rows, err := t.Since(after)
		if err == nil {
			last, _ := t.Position()
			return &TableReply{Rows: rows, Latest: last.Version, Era: last.Era}, nil
		}
		if !errors.Is(err, ErrHistoryGone) {
			return nil, err
		}
	}
	rows, last, ok := t.All()
	if !ok {
		return nil, errors.New("table not known yet")
	}
	return &TableReply{Rows: rows, Latest: last.Version, Era: last.Era, Full: true}, nil
}

// Close cancels the fetches in flight and waits for them.
func (f *Follower) Close() error {
	f.cancel()
	f.wg.Wait()
	return nil
}
