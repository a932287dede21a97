package feed

import (
	"fmt"
	"testing"
	"time"
)

// TestABundleIsPackedOnceAndPassedOn holds that an answer of many rows is packed once until a row changes, that who takes it passes on
// the same bytes, and that a few rows and older programs' answers are not packed.
func TestABundleIsPackedOnceAndPassedOn(t *testing.T) {
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
		t.Error("the same answer is packed twice")
	}
	reply, err := from.bundled(-1)
	if err != nil {
		t.Fatal(err)
	}
	taken, err := reply.unpack()
	if err != nil || len(taken) != 300 {
		t.Fatalf("%d rows, %v", len(taken), err)
	}
	to.replaceAs(now, taken, reply)
	if passed := bundleOf(t, to, -1); &passed[0] != &first[0] {
		t.Error("what was taken is packed again to be passed on")
	}
	to.Change(now, []Row{{Table: "t", Key: "k0", Value: noisy(90), Version: 301}})
	if changed := bundleOf(t, to, -1); &changed[0] == &first[0] {
		t.Error("a row has changed, and the bundle has not")
	}
	if few := bundleOf(t, to, 300); few != nil {
		t.Error("one row is packed")
	}
	if _, err := (&TableReply{Bundle: first[:len(first)/2]}).unpack(); err == nil {
		t.Error("half a bundle is taken")
	}
	if plain, err := answer(from, &TableRequest{Table: "t", After: -1, Packed: true}); err != nil || plain.Bundle != nil || len(plain.Rows) != 300 {
		t.Errorf("an older program gets %d rows, %v", len(plain.Rows), err)
	}
}

// bundleOf returns the packed rows of an answer, nil where they are told as they are.
func bundleOf(t *testing.T, table *Table, after int64) []byte {
	t.Helper()
	reply, err := table.bundled(after)
	if err != nil {
		t.Fatal(err)
	}
	return reply.Bundle
}
