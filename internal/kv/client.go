// Package kv keeps the product's own rows, by key, in one table of the
// platform's store. Others see rows, transactions and the typed errors here.
package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/platform"
)

const (
	// tableRows holds the product's rows.
	tableRows = "croftturn"

	// tableInstances holds the list of instances, which lags behind reality.
	tableInstances = "croftturn-instances"

	// absent is the version of a row that does not exist.
	absent = 0
)

var (
	// ErrConflict says that a check of a transaction failed; nothing was written.
	ErrConflict = errors.New("kv: a row has another version")

	// ErrUnavailable says that the platform did not do what was asked.
	ErrUnavailable = errors.New("kv: store not available")

	// ErrUncertain says that a write may or may not have taken effect.
	ErrUncertain = errors.New("kv: the write may have taken effect")
)

type (
	// Row is one row of the table.
	Row struct {
		Key     string          `json:"key"`
		Value   json.RawMessage `json:"value,omitempty"`
		Version int             `json:"version"` // Version grows with each write of the row; 0 means absent.
	}

	// Check makes a transaction fail unless a row has this version.
	Check struct {
		Key     string `json:"key"`
		Version int    `json:"version"`
	}

	// Put writes one row; a nil value deletes it.
	Put struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value,omitempty"`
	}

	// Txn is a transaction: all checks hold and all rows are written, or nothing is.
	Txn struct {
		Checks []Check `json:"checks,omitempty"`
		Puts   []Put   `json:"puts,omitempty"`
	}

	// ConflictError names the rows whose checks failed, as they are now.
	ConflictError struct {
		Rows []Row
	}

	// Instance is one line of the platform's list, which lags behind reality.
	Instance struct {
		Name        string `json:"name"`
		PeerAddress string `json:"peer_address"`
		Leaving     bool   `json:"leaving"`
	}

	// Client reads and writes rows. Its methods may be called from many goroutines.
	Client struct {
		store *platform.Store

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

// New returns a client of the store at these addresses; timeout bounds each call.
func New(addresses []string, timeout time.Duration) *Client {
	return &Client{store: platform.NewStore(addresses, timeout)}
}

// Get reads one row; an absent row comes with version 0.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	found, err := c.scan(ctx, key, key+"\x00", 1)
	if err != nil {
		return Row{}, fmt.Errorf("get row %s: %w", key, err)
	}
	if len(found) == 0 {
		return Row{Key: key, Version: absent}, nil
	}
	return found[0], nil
}

// List reads the rows with a prefix whose keys come after a key, in key order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	from := prefix
	if after >= prefix {
		from = after + "\x00"
	}
	found, err := c.scan(ctx, from, end(prefix), limit)
	if err != nil {
		return nil, fmt.Errorf("list rows %s: %w", prefix, err)
	}
	return found, nil
}

// end returns the first key after all keys with a prefix; nothing if there is none.
func end(prefix string) string {
	for i := len(prefix) - 1; i >= 0; i-- {
		if prefix[i] < 0x7f {
			return prefix[:i] + string(rune(prefix[i]+1))
		}
	}
	return ""
}

// scan reads rows by their keys.
func (c *Client) scan(ctx context.Context, from, to string, limit int) ([]Row, error) {
	c.Reads.Add(1)
	snap, _, err := c.store.Range(ctx, tableRows, "", from, to, limit)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fromStore(snap.Rows), nil
}

// fromStore returns rows of the store's table as the product's.
func fromStore(rows []feed.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{Key: r.Key, Value: r.Value, Version: int(r.Version)})
	}
	return out
}

// Transact runs a transaction. The error is ErrConflict or ErrUnavailable where
// nothing was written, and ErrUncertain where that is not known.
func (c *Client) Transact(ctx context.Context, txn Txn) error {
	c.Writes.Add(1)
	tx := feed.Tx{}
	for _, check := range txn.Checks {
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
	err := c.store.Write(ctx, tx)
	var conflict *feed.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &ConflictError{Rows: fromStore(conflict.Rows)}
	case errors.Is(err, feed.ErrUnavailable):
		return fmt.Errorf("transaction: %w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("transaction: %w: %w", ErrUncertain, err)
}

// Instances reads the list of instances, which lags behind reality.
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

// Close drops idle connections.
func (c *Client) Close() { c.store.Close() }
