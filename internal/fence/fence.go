// Package fence limits the conditions of writes to one era of the platform's store. After the store has come back
// from a copy, the version that a condition names may have been given to another value of the row, and a write sent
// before may be applied seconds later.
//
// The first write of an era to a part also writes a row for it and the eras before. Every write requires that the
// row of the next era is absent. So a condition of an earlier era holds only as long as nothing was written to the
// part since the return, when its rows are those of the copy.
package fence

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/history"
)

const (
	// table has one row for each part and era that was written to.
	table = "croftturn-eras"

	// rowsWritten is for how many eras a row is written: a copy may be older than several returns, and lack their rows.
	rowsWritten = 4
)

type (
	// Store is the platform's store.
	Store interface {
		Commit(ctx context.Context, tx feed.Tx) (at history.Position, err error)
	}

	// Fence commits transactions. It is safe for concurrent use.
	Fence struct {
		store Store

		mu     sync.Mutex
		marked map[string]int64 // marked holds, by part, the latest era whose row this process has written.
	}
)

// New returns a Fence in front of a store.
func New(store Store) *Fence { return &Fence{store: store, marked: map[string]int64{}} }

// Commit commits a transaction whose conditions were read in an era. The error is feed.ErrConflict and
// feed.ErrStale if the part was written to in a later one.
func (f *Fence) Commit(ctx context.Context, era int64, part string, tx feed.Tx) (at history.Position, err error) {
	tx.Expect = append(tx.Expect[:len(tx.Expect):len(tx.Expect)], row(part, era+1))
	if era > f.markedEra(part) {
		tx.Put = tx.Put[:len(tx.Put):len(tx.Put)]
		for past := max(1, era-rowsWritten+1); past <= era; past++ {
			tx.Put = append(tx.Put, row(part, past))
		}
	}
	at, err = f.store.Commit(ctx, tx)
	if err == nil {
		f.mu.Lock()
		f.marked[part] = max(f.marked[part], era)
		f.mu.Unlock()
		return at, nil
	}
	var conflict *feed.ConflictError
	if errors.As(err, &conflict) {
		rest := &feed.ConflictError{}
		for _, r := range conflict.Rows {
			if r.Table != table {
				rest.Rows = append(rest.Rows, r)
			}
		}
		if len(rest.Rows) < len(conflict.Rows) {
			return at, fmt.Errorf("condition of era %d: %w: %w", era, feed.ErrStale, rest)
		}
	}
	return at, err
}

// markedEra returns the latest era whose row this process has written to a part.
func (f *Fence) markedEra(part string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.marked[part]
}

// row returns the row of an era.
func row(part string, era int64) feed.Row {
	return feed.Row{Table: table, Part: part, Key: fmt.Sprintf("%016x", era), Value: []byte("{}")}
}
