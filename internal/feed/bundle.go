package feed

import (
	"compress/gzip"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/history"
)

// maxBundleBytes limits the decompressed size of a bundle. A thousand engine entries take 0.25 MB, and
// large values among them are compressed already.
const maxBundleBytes = 16 << 20

// bundle is a cached reply whose rows are compressed together; it is reused until a row changes.
//
// It serves tables of many small rows, which every node fetches in full when it starts. 3,000 engines take
// 0.62 MB, or 0.83 MB encoded. A node with a 10 Mbit/s link sent three such replies in two seconds, so the last
// of 299 nodes killed together had the table 6.3 s after its start and refused requests until then.
type bundle struct {
	after      history.Position // after is the requester's position.
	generation int64            // generation is the table's change count when the reply was built.
	reply      *TableReply
}

// bundledSince returns the changes after a position, or the full table, compressed as one bundle if it is large.
func (t *Table) bundledSince(after history.Position) (*TableReply, error) {
	t.bundleMu.Lock()
	defer t.bundleMu.Unlock()
	t.mu.Lock()
	count := t.generation
	if after.Era != t.era {
		after = history.Position{Version: -1} // The reply is the full table, whatever the position.
	}
	t.mu.Unlock()
	if b := t.bundle; b.reply != nil && b.after == after && b.generation == count {
		return b.reply, nil
	}
	reply, err := changesSince(t, after)
	if err != nil || payloadSize(reply.Rows) < largeReplyBytes {
		return reply, err
	}
	plain, err := cbor.Marshal(reply.Rows)
	if err != nil {
		return nil, fmt.Errorf("encode rows: %w", err)
	}
	compressed, err := gzipBytes(plain, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack rows: %w", err)
	}
	reply.Rows, reply.Bundle = nil, compressed
	t.bundle = bundle{after: after, generation: count, reply: reply}
	return reply, nil
}

// replaceFromReply replaces the table with a peer's full reply. If the table has no other rows then, the reply's
// bundle is reused for other peers without being compressed again.
func (t *Table) replaceFromReply(now time.Time, u update, reply *TableReply) {
	t.bundleMu.Lock()
	defer t.bundleMu.Unlock()
	same, count := t.replace(now, u)
	if same && reply.Bundle != nil {
		t.bundle = bundle{after: history.Position{Version: -1}, generation: count, reply: reply}
	}
}

// decodeRows returns the rows of a reply with their values decompressed.
func (r *TableReply) decodeRows() ([]PeerRow, error) {
	rows := r.Rows
	if r.Bundle != nil {
		plain, err := gunzipBytes(r.Bundle, maxBundleBytes)
		if err != nil {
			return nil, fmt.Errorf("decompress rows: %w", err)
		}
		if err := cbor.Unmarshal(plain, &rows); err != nil {
			return nil, fmt.Errorf("decode rows: %w", err)
		}
	}
	return decompressRows(rows)
}

// payloadSize returns the size of a reply's values, in bytes, without the names.
func (r *TableReply) payloadSize() int { return payloadSize(r.Rows) + len(r.Bundle) }
