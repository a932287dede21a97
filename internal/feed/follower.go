package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

const (
	// MethodTable is the peers' method that takes a table request.
	MethodTable = "table"

	// pullTimeout bounds one such call; its answer is at most some 100 KB.
	pullTimeout = time.Second
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
		if err := f.ask(address, t); err != nil && f.ctx.Err() == nil {
			f.log.Warn("table not taken from peer", "table", t.Name(), "peer_address", address, "error", err.Error())
		}
		f.mu.Lock()
		delete(f.pulling, t.Name())
		f.mu.Unlock()
	}()
}

// ask takes what a peer has of a table.
func (f *Follower) ask(address string, t *Table) error {
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
	if reply.Whole {
		t.Replace(now, Snapshot{Rows: reply.Rows, Version: reply.Last})
		return nil
	}
	t.Change(now, reply.Rows)
	return nil
}

// Answer gives a peer what this node has; it is the handler of MethodTable.
func (f *Follower) Answer(_ context.Context, req *TableRequest) (any, error) {
	t := f.tables[req.Table]
	if t == nil {
		return nil, fmt.Errorf("no table %q", req.Table)
	}
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
