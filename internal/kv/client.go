// Package kv stores Croftturn's own rows by key in one table of the platform's
// store. It exposes rows, transactions and typed errors.
package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/fence"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/platform"
)

const (
	// tableRows is the name of the table with Croftturn's rows.
	tableRows = "croftturn"

	// tableInstances is the name of the table of instances, which may be stale.
	tableInstances = "croftturn-instances"

	// absentVersion is the version of a missing row.
	absentVersion = 0
)

var (
	// ErrConflict means that a check of a transaction failed; nothing was written.
	ErrConflict = errors.New("kv: a row has another version")

	// ErrUnavailable means that the platform did not execute the request.
	ErrUnavailable = errors.New("kv: store not available")

	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("kv: the write may have taken effect")
)

type (
	// Row is one row of the table.
	Row struct {
		Key     string          `json:"key"`
		Value   json.RawMessage `json:"value,omitempty"`
		Version int             `json:"version"` // Version increases with each write of the row in an era; 0 means that it does not exist.
		Era     int64           `json:"-"`       // Era is that of the store when the row was read, as in history.Position.
		Read    Moment          `json:"-"`       // Read is when Get read the row.
	}

	// Check is a precondition of a transaction: the row must have this version.
	Check struct {
		Key     string `json:"key"`
		Version int    `json:"version"`
		Era     int64  `json:"-"` // Era is that in which the version was read.
	}

	// Put writes one row; a nil value deletes it.
	Put struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value,omitempty"`
	}

	// Txn is a transaction: if all checks hold, all rows are written, otherwise none.
	Txn struct {
		Checks []Check `json:"checks,omitempty"`
		Puts   []Put   `json:"puts,omitempty"`
		Fenced bool    `json:"-"` // Fenced is set if the checks must fail once the store has come back from a copy and was written to.
	}

	// ConflictError holds the current rows whose checks failed.
	ConflictError struct {
		Rows []Row
	}

	// Instance is an entry in the platform's list of instances, which may be stale.
	Instance struct {
		Name        string `json:"name"`
		PeerAddress string `json:"peer_address"`
		Leaving     bool   `json:"leaving"`
	}

	// Client reads and writes rows. It is safe for concurrent use.
	Client struct {
		store *platform.Store
		fence *fence.Fence

		Reads  atomic.Int64 // Reads counts read calls sent.
		Writes atomic.Int64 // Writes counts transactions sent.
	}
)

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("kv: %d rows have other versions", len(e.Rows))
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// New returns a client for the store at these addresses; timeout bounds each call.
func New(addresses []string, timeout time.Duration) *Client {
	store := platform.NewStore(addresses, timeout)
	return &Client{store: store, fence: fence.New(store)}
}

// Tables returns the store with all of its tables.
func (c *Client) Tables() *platform.Store { return c.store }

// Era returns the latest era that an answer of the store has named; ok is false if none has.
func (c *Client) Era() (era int64, ok bool) { return c.store.Era(), c.store.EraKnown() }

// Get reads one row; a missing row is returned with version 0.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	snap, err := c.scan(ctx, key, key+"\x00", 1)
	if err != nil {
		return Row{}, fmt.Errorf("get row %s: %w", key, err)
	}
	read := Moment{Ms: snap.NowMs, Sent: snap.Sent, Answered: clock.Now()}
	found := toRows(snap.Rows)
	if len(found) == 0 {
		return Row{Key: key, Version: absentVersion, Era: snap.Era, Read: read}, nil
	}
	found[0].Read = read
	return found[0], nil
}

// List reads up to limit rows with a key prefix that sort after a key, in key order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	from := prefix
	if after >= prefix {
		from = after + "\x00"
	}
	found, err := c.scan(ctx, from, prefixEnd(prefix), limit)
	if err != nil {
		return nil, fmt.Errorf("list rows %s: %w", prefix, err)
	}
	return toRows(found.Rows), nil
}

// prefixEnd returns the first key after all keys with a prefix, or "" if there is none.
func prefixEnd(prefix string) string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0x7f {
			return prefix[:i] + string(rune(prefix[i]+1))
		}
	}
	return ""
}

// scan reads up to limit rows with keys in [from, to).
func (c *Client) scan(ctx context.Context, from, to string, limit int) (feed.Snapshot, error) {
	c.Reads.Add(1)
	snap, _, err := c.store.Range(ctx, tableRows, "", from, to, limit)
	if err != nil {
		return feed.Snapshot{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return snap, nil
}

// toRows converts rows of the platform's store to Rows.
func toRows(rows []feed.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{Key: r.Key, Value: r.Value, Version: int(r.Version), Era: r.Era})
	}
	return out
}

// Transact runs a transaction. The error is ErrConflict or ErrUnavailable if
// nothing was written, and ErrUncertain if that is unknown.
func (c *Client) Transact(ctx context.Context, txn Txn) error {
	c.Writes.Add(1)
	tx, era := feed.Tx{}, int64(0)
	for _, check := range txn.Checks {
		era = max(era, check.Era)
		tx.Expect = append(tx.Expect, feed.Row{Table: tableRows, Key: check.Key, Version: int64(check.Version)})
	}
	for _, put := range txn.Puts {
		row := feed.Row{Table: tableRows, Key: put.Key, Value: put.Value}
		if put.Value == nil {
			tx.Delete = append(tx.Delete, row)
			continue
		}
		tx.Put = append(tx.Put, row)
	}
	commit := c.store.Commit
	if txn.Fenced {
		commit = func(ctx context.Context, tx feed.Tx) (history.Position, error) {
			return c.fence.Commit(ctx, era, "", tx)
		}
	}
	_, err := commit(ctx, tx)
	var conflict *feed.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &ConflictError{Rows: toRows(conflict.Rows)}
	case errors.Is(err, feed.ErrUnavailable):
		return fmt.Errorf("transaction: %w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("transaction: %w: %w", ErrUncertain, err)
}

// Instances reads the list of instances, which may be stale.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.Reads.Add(1)
	snap, err := c.store.List(ctx, tableInstances, "")
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	out := make([]Instance, 0, len(snap.Rows))
	for _, r := range snap.Rows {
		var i Instance
		if err := json.Unmarshal(r.Value, &i); err != nil {
			return nil, fmt.Errorf("decode instance %s: %w", r.Key, err)
		}
		out = append(out, i)
	}
	return out, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.store.Close() }
