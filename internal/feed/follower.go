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
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// MethodTable is the peers' method that takes a table request.
	MethodTable = "table"

	// pullTimeout bounds one such call, as the store's longest answer needs over a link of
	// 10 Mbit/s; what ends a call to a peer that says nothing is PullSilence.
	pullTimeout = 7 * time.Second

	// PullSilence is how long a peer may say nothing in such a call: twice what a call may wait
	// for its turn there. A pull is not ended for its length, since what has come of it would
	// have to be sent again: with a bound of one second, pulls of 0.75 MB from small nodes failed 454
	// times in 10 s, and kept those nodes busy.
	PullSilence = 500 * time.Millisecond

	// busyPause is the usual pause after a peer that answers others first: one answer of 80 KB
	// takes 66 ms over 10 Mbit/s, and the next turn is free then.
	busyPause = 50 * time.Millisecond

	// slowPull and largePull are from when on a pull that ended well has a line in the log:
	// the usual one takes a few milliseconds and brings some engines.
	slowPull  = 250 * time.Millisecond
	largePull = 64 << 10
)

type (
	// Caller calls peers.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// TableRequest asks a peer for what changed in a table.
	TableRequest struct {
		Table  string `json:"t"`
		After  int64  `json:"a"`           // After is the version that the asking node has; -1 for the whole table.
		Packed bool   `json:"p,omitempty"` // Packed says that it takes packed rows; older programs do not.
		Bundle bool   `json:"b,omitempty"` // Bundle says that it takes rows packed together; older programs do not.
		Asker  string `json:"f,omitempty"` // Asker is the asking node's address, where others may ask it later.
	}

	// TableReply is what a peer has.
	TableReply struct {
		Rows   []PeerRow `json:"r,omitempty"`
		Bundle []byte    `json:"z,omitempty"` // Bundle holds the rows, packed together, in place of Rows.
		Last   int64     `json:"l"`           // Last is the newest version among the peer's rows.
		Whole  bool      `json:"w,omitempty"` // Whole says that Rows is the whole table.
		Busy   bool      `json:"b,omitempty"` // Busy says that others are answered first; Rows is empty.
		Others []string  `json:"o,omitempty"` // Others are addresses of nodes that a busy peer has answered.
	}

	// Follower takes tables from peers that tell of newer versions.
	Follower struct {
		self   string // self is where peers reach this node.
		caller Caller
		log    *slog.Logger
		wg     sync.WaitGroup
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		tables  map[string]*Table
		sources map[string]map[string]int64 // sources are, by table that is being asked for, the peers to ask and what they have.
		turns   *turns

		given, taken, failed atomic.Int64
	}

	// Pulls counts tables that were asked for between peers.
	Pulls struct {
		Given  int64 // Given counts answers to peers.
		Taken  int64 // Taken counts answers of peers that were taken.
		Failed int64 // Failed counts calls to peers that brought none.
	}
)

// busyError says that a peer answers others first.
type busyError struct {
	version int64    // version is what the peer has.
	others  []string // others have it, too.
}

// Error describes it.
func (e *busyError) Error() string { return "the peer answers others first" }

// NewFollower returns a follower of some tables; self is the address at which peers call it.
func NewFollower(self string, caller Caller, log *slog.Logger, tables ...*Table) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{self: self, caller: caller, log: log, ctx: ctx, cancel: cancel, tables: map[string]*Table{}, sources: map[string]map[string]int64{}, turns: newTurns()}
	for _, t := range tables {
		f.tables[t.Name()] = t
	}
	return f
}

// Versions returns the newest version in the copy of each table that is whole.
func (f *Follower) Versions() map[string]int64 {
	out := map[string]int64{}
	for name, t := range f.tables {
		if last, ok := t.Last(); ok {
			out[name] = last
		}
	}
	return out
}

// Heard takes what a peer told of its versions, and asks it for what is newer.
func (f *Follower) Heard(address string, versions map[string]int64) {
	for name, theirs := range versions {
		t := f.tables[name]
		if t == nil {
			continue
		}
		if mine, ok := t.Last(); ok && mine >= theirs {
			continue
		}
		f.pull(address, t, theirs)
	}
}

// pull asks a peer for a table; while the table is being asked for already, the peer
// is kept as another that can be asked.
func (f *Follower) pull(address string, t *Table, theirs int64) {
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
	f.sources[t.Name()] = map[string]int64{address: theirs}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		for f.pullOnce(t) {
		}
	}()
}

// pullOnce asks one of the peers that have something newer of a table, and reports
// whether there may be another to ask. One that failed is asked again when it tells of its
// tables the next time.
func (f *Follower) pullOnce(t *Table) bool {
	address, ok := f.source(t)
	if !ok {
		return false
	}
	begin := clock.Now()
	err := f.ask(address, t, begin)
	var busy *busyError
	switch {
	case errors.As(err, &busy):
		f.addSources(t, busy.version, append(busy.others, address))
		pause.Jittered(f.ctx, busyPause)
	case err != nil && f.ctx.Err() == nil:
		f.failed.Add(1)
		f.log.Warn("table not taken from peer", "table", t.Name(), "peer_address", address, "ms", clock.Since(begin).Milliseconds(), "error", err.Error())
	}
	return true
}

// source takes out a peer, by chance, of those that have something newer of a table. Where
// there is none, the table is no longer being asked for.
func (f *Follower) source(t *Table) (address string, ok bool) {
	mine, whole := t.Last()
	f.mu.Lock()
	defer f.mu.Unlock()
	sources := f.sources[t.Name()]
	for address, theirs := range sources { // The order of a map is one by chance.
		delete(sources, address)
		if f.ctx.Err() == nil && (!whole || theirs > mine) {
			return address, true
		}
	}
	delete(f.sources, t.Name())
	return "", false
}

// addSources adds peers that have a version of a table that is being asked for.
func (f *Follower) addSources(t *Table, version int64, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		if address != f.self {
			f.sources[t.Name()][address] = version
		}
	}
}

// ask takes what a peer has of a table.
func (f *Follower) ask(address string, t *Table, begin time.Time) error {
	ctx, cancel := context.WithTimeout(f.ctx, pullTimeout)
	defer cancel()
	req := TableRequest{Table: t.Name(), After: -1, Packed: true, Bundle: true, Asker: f.self}
	if last, ok := t.Last(); ok {
		req.After = last
	}
	var reply TableReply
	if err := f.caller.Call(ctx, address, MethodTable, &req, &reply); err != nil {
		return fmt.Errorf("ask for table: %w", err)
	}
	if reply.Busy {
		return &busyError{version: reply.Last, others: reply.Others}
	}
	rows, err := reply.unpack()
	if err != nil {
		return fmt.Errorf("take table: %w", err)
	}
	now := clock.Now()
	f.took(t, address, &reply, len(rows), now.Sub(begin))
	if reply.Whole {
		t.replaceAs(now, rows, &reply)
		return nil
	}
	t.change(now, rows)
	return nil
}

// took counts an answer that came, and logs a slow or large one.
func (f *Follower) took(t *Table, address string, reply *TableReply, rows int, after time.Duration) {
	f.taken.Add(1)
	bytes := reply.size()
	if after >= slowPull || bytes >= largePull {
		f.log.Info("table taken from peer", "table", t.Name(), "peer_address", address, "rows", rows, "bytes", bytes, "ms", after.Milliseconds())
	}
}

// Pulls returns what was counted so far.
func (f *Follower) Pulls() Pulls {
	return Pulls{Given: f.given.Load(), Taken: f.taken.Load(), Failed: f.failed.Load()}
}

// Answer gives a peer what this node has; it is the handler of MethodTable. A large answer
// waits for its turn.
func (f *Follower) Answer(ctx context.Context, req *TableRequest) (any, error) {
	t := f.tables[req.Table]
	if t == nil {
		return nil, fmt.Errorf("no table %q", req.Table)
	}
	reply, err := answer(t, req)
	if err != nil {
		return nil, err
	}
	if reply.size() < largeAnswer {
		f.given.Add(1)
		return reply, nil
	}
	v := tableVersion{table: req.Table, version: reply.Last}
	if ok, others := f.turns.take(ctx, v); !ok {
		return &TableReply{Last: reply.Last, Busy: true, Others: others}, nil
	}
	f.given.Add(1)
	return &largeReply{TableReply: reply, sent: func() { f.turns.end(v, req.Asker) }}, nil
}

// answer returns what a table has for a request.
func answer(t *Table, req *TableRequest) (*TableReply, error) {
	if req.Bundle {
		return t.bundled(req.After)
	}
	reply, err := changes(t, req.After)
	if err != nil {
		return nil, err
	}
	if req.Packed {
		return reply, nil
	}
	rows, err := unpackAll(reply.Rows)
	if err != nil {
		return nil, err
	}
	for i := range rows {
		rows[i].Packed = nil
	}
	reply.Rows = rows
	return reply, nil
}

// changes returns what changed in a table after a version, or the whole table where that
// is not known any more.
func changes(t *Table, after int64) (*TableReply, error) {
	if after >= 0 {
		rows, err := t.Since(after)
		if err == nil {
			last, _ := t.Last()
			return &TableReply{Rows: rows, Last: last}, nil
		}
		if !errors.Is(err, ErrHistoryGone) {
			return nil, err
		}
	}
	rows, last, ok := t.All()
	if !ok {
		return nil, errors.New("table not known yet")
	}
	return &TableReply{Rows: rows, Last: last, Whole: true}, nil
}

// Close ends calls in flight and waits for them.
func (f *Follower) Close() error {
	f.cancel()
	f.wg.Wait()
	return nil
}
