package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MethodTable is the peers' method that takes a table request.
	MethodTable = "table"

	// pullTimeout bounds one such call; its answer is at most some 100 KB.
	pullTimeout = time.Second

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
		Table string `json:"t"`
		After int64  `json:"a"` // After is the version that the asking node has; -1 for the whole table.
	}

	// TableReply is what a peer has.
	TableReply struct {
		Rows  []Row `json:"r,omitempty"`
		Last  int64 `json:"l"`           // Last is the newest version among the peer's rows.
		Whole bool  `json:"w,omitempty"` // Whole says that Rows is the whole table.
	}

	// Follower takes tables from peers that tell of newer versions.
	Follower struct {
		caller Caller
		log    *slog.Logger
		wg     sync.WaitGroup
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		tables  map[string]*Table
		pulling map[string]bool

		given, taken, failed atomic.Int64
	}

	// Pulls counts tables that were asked for between peers.
	Pulls struct {
		Given  int64 // Given counts answers to peers.
		Taken  int64 // Taken counts answers of peers that were taken.
		Failed int64 // Failed counts calls to peers that brought none.
	}
)

// NewFollower returns a follower of some tables.
func NewFollower(caller Caller, log *slog.Logger, tables ...*Table) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{caller: caller, log: log, ctx: ctx, cancel: cancel, tables: map[string]*Table{}, pulling: map[string]bool{}}
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
		f.pull(address, t)
	}
}

// pull asks a peer for a table, unless it is being asked for already.
func (f *Follower) pull(address string, t *Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pulling[t.Name()] || f.ctx.Err() != nil {
		return
	}
	f.pulling[t.Name()] = true
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		begin := time.Now()
		if err := f.ask(address, t, begin); err != nil && f.ctx.Err() == nil {
			f.failed.Add(1)
			f.log.Warn("table not taken from peer", "table", t.Name(), "peer_address", address, "ms", time.Since(begin).Milliseconds(), "error", err.Error())
		}
		f.mu.Lock()
		delete(f.pulling, t.Name())
		f.mu.Unlock()
	}()
}

// ask takes what a peer has of a table.
func (f *Follower) ask(address string, t *Table, begin time.Time) error {
	ctx, cancel := context.WithTimeout(f.ctx, pullTimeout)
	defer cancel()
	req := TableRequest{Table: t.Name(), After: -1}
	if last, ok := t.Last(); ok {
		req.After = last
	}
	var reply TableReply
	if err := f.caller.Call(ctx, address, MethodTable, &req, &reply); err != nil {
		return fmt.Errorf("ask for table: %w", err)
	}
	now := time.Now()
	f.took(t, address, reply.Rows, now.Sub(begin))
	if reply.Whole {
		t.Replace(now, Snapshot{Rows: reply.Rows, Version: reply.Last})
		return nil
	}
	t.Change(now, reply.Rows)
	return nil
}

// took counts an answer that came, and logs a slow or large one.
func (f *Follower) took(t *Table, address string, rows []Row, after time.Duration) {
	f.taken.Add(1)
	bytes := 0
	for _, r := range rows {
		bytes += len(r.Value)
	}
	if after >= slowPull || bytes >= largePull {
		f.log.Info("table taken from peer", "table", t.Name(), "peer_address", address, "rows", len(rows), "bytes", bytes, "ms", after.Milliseconds())
	}
}

// Pulls returns what was counted so far.
func (f *Follower) Pulls() Pulls {
	return Pulls{Given: f.given.Load(), Taken: f.taken.Load(), Failed: f.failed.Load()}
}

// Answer gives a peer what this node has; it is the handler of MethodTable.
func (f *Follower) Answer(_ context.Context, req *TableRequest) (any, error) {
	t := f.tables[req.Table]
	if t == nil {
		return nil, fmt.Errorf("no table %q", req.Table)
	}
	f.given.Add(1)
	if req.After >= 0 {
		rows, err := t.Since(req.After)
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
