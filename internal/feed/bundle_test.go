package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

// TestBundleIsCompressedOnceAndReused checks that a reply of many rows is compressed once until a row changes, that
// the node which receives it forwards the same bytes, and that small replies and those to older peers have no bundle.
func TestBundleIsCompressedOnceAndReused(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := func(n int) []Row {
		out := make([]Row, n)
		for i := range out {
			out[i] = Row{Table: "t", Key: fmt.Sprint("k", i), Value: noisy(100), Version: int64(i + 1)}
		}
		return out
	}
	from, to := NewTable("t", func(time.Time, []Row) {}), NewTable("t", func(time.Time, []Row) {})
	from.Replace(now, Snapshot{Rows: rows(300), Version: 300})
	first := bundleOf(t, from, -1)
	if len(first) == 0 || len(first) >= 300*100 {
		t.Fatalf("300 rows of 100 bytes became %d bytes", len(first))
	}
	if again := bundleOf(t, from, -1); &again[0] != &first[0] {
		t.Error("the same reply is compressed twice")
	}
	reply, err := from.bundledSince(history.Position{Version: -1})
	if err != nil {
		t.Fatal(err)
	}
	received, err := reply.decodeRows()
	if err != nil || len(received) != 300 {
		t.Fatalf("%d rows, %v", len(received), err)
	}
	to.replaceFromReply(now, update{rows: received, at: reply.position()}, reply)
	if forwarded := bundleOf(t, to, -1); &forwarded[0] != &first[0] {
		t.Error("a received bundle is compressed again")
	}
	to.Apply(now, []Row{{Table: "t", Key: "k0", Value: noisy(90), Version: 301}})
	if changed := bundleOf(t, to, -1); &changed[0] == &first[0] {
		t.Error("the bundle is unchanged after a row changed")
	}
	if few := bundleOf(t, to, 300); few != nil {
		t.Error("a reply of one row has a bundle")
	}
	if _, err := (&TableReply{Bundle: first[:len(first)/2]}).decodeRows(); err == nil {
		t.Error("a truncated bundle is accepted")
	}
	if plain, err := buildReply(from, &TableRequest{Table: "t", After: -1, AcceptsCompressed: true}); err != nil || plain.Bundle != nil || len(plain.Rows) != 300 {
		t.Errorf("an older peer gets %d rows, %v", len(plain.Rows), err)
	}
}

// TestBundleIsReusedAfterAReturn guards against nodes that compress a table again for each position of the era before.
func TestBundleIsReusedAfterAReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := make([]Row, 300)
	for i := range rows {
		rows[i] = Row{Table: "t", Key: fmt.Sprint("k", i), Value: noisy(100), Version: int64(i + 1)}
	}
	var first []byte
	for _, name := range []string{"a reader", "a node that got the table from it"} {
		table := NewTable("t", func(time.Time, []Row) {})
		table.Replace(now, Snapshot{Rows: rows, Era: 1, Version: 310})
		if first == nil {
			table.Replace(now, Snapshot{Rows: rows, Era: 2, Version: 300})
		} else {
			reply := &TableReply{Bundle: first, Latest: 300, Era: 2, Full: true}
			received, err := reply.decodeRows()
			if err != nil {
				t.Fatal(err)
			}
			table.replaceFromReply(now, update{rows: received, at: reply.position()}, reply)
		}
		for _, after := range []history.Position{{Version: -1}, {Era: 1, Version: 310}, {Era: 1, Version: 305}} {
			reply, err := table.bundledSince(after)
			if err != nil || !reply.Full || len(reply.Bundle) == 0 {
				t.Fatalf("%s: after %+v: %v", name, after, err)
			}
			if first == nil {
				first = reply.Bundle
			}
			if &reply.Bundle[0] != &first[0] {
				t.Errorf("%s: the table is compressed again for a node at %+v", name, after)
			}
		}
	}
}

// bundleOf returns the bundle of a reply; nil if its rows are sent individually.
func bundleOf(t *testing.T, table *Table, after int64) []byte {
	t.Helper()
	reply, err := table.bundledSince(history.Position{Version: after})
	if err != nil {
		t.Fatal(err)
	}
	return reply.Bundle
}
