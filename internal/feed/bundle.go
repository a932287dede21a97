package feed

import (
	"compress/gzip"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// bundledMost bounds the rows of a bundle before they are packed, in bytes: a thousand times the entry of
// an engine is 0.25 MB, and large values in it are packed already.
const bundledMost = 16 << 20

// bundle is an answer of many rows, packed together once and passed on as it is until a row changes.
//
// It is for tables of many small rows, of which all nodes take all at a start. 3,000 engines are 0.62 MB, which became
// 0.83 MB on the way. A node with 10 Mbit/s sent three of them in two seconds, so that the last of 299 nodes that
// were killed together had them 6.3 s after its start; until then it refused what reached it.
type bundle struct {
	after   int64 // after is the version that the asking node had; -1 for none.
	changes int64 // changes is how often the table had changed.
	reply   *TableReply
}

// bundled returns what changed in the table after a version, or the whole table, as one packed piece where it
// is large.
func (t *Table) bundled(after int64) (*TableReply, error) {
	t.bundling.Lock()
	defer t.bundling.Unlock()
	t.mu.Lock()
	count := t.changes
	t.mu.Unlock()
	if b := t.bundle; b.reply != nil && b.after == after && b.changes == count {
		return b.reply, nil
	}
	reply, err := changes(t, after)
	if err != nil || size(reply.Rows) < largeAnswer {
		return reply, err
	}
	plain, err := cbor.Marshal(reply.Rows)
	if err != nil {
		return nil, fmt.Errorf("encode rows: %w", err)
	}
	packed, err := zip(plain, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack rows: %w", err)
	}
	reply.Rows, reply.Bundle = nil, packed
	t.bundle = bundle{after: after, changes: count, reply: reply}
	return reply, nil
}

// replaceAs takes the whole table from a peer's answer. Where there was nothing before, the answer is what
// this node tells the next one: it need not be packed again.
func (t *Table) replaceAs(now time.Time, rows []PeerRow, reply *TableReply) {
	t.bundling.Lock()
	defer t.bundling.Unlock()
	wasEmpty, count := t.replace(now, rows, reply.Last)
	if wasEmpty && reply.Bundle != nil {
		t.bundle = bundle{after: -1, changes: count, reply: reply}
	}
}

// unpack returns the rows of an answer, with their values.
func (r *TableReply) unpack() ([]PeerRow, error) {
	rows := r.Rows
	if r.Bundle != nil {
		plain, err := unzip(r.Bundle, bundledMost)
		if err != nil {
			return nil, fmt.Errorf("unpack rows: %w", err)
		}
		if err := cbor.Unmarshal(plain, &rows); err != nil {
			return nil, fmt.Errorf("decode rows: %w", err)
		}
	}
	return unpackAll(rows)
}

// size returns how many bytes an answer takes on its way, but for the names in it.
func (r *TableReply) size() int { return size(r.Rows) + len(r.Bundle) }
