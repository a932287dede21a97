package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

// noisy returns random text of n bytes, which compresses badly.
func noisy(n int) []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, n)
	for i := range out {
		out[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rnd.IntN(36)]
	}
	return out
}

// TestLargeRowsAreCompressedOnce checks that a large value is stored compressed and restored
// unchanged, that a small one stays uncompressed, and that invalid compressed data is an error.
func TestLargeRowsAreCompressedOnce(t *testing.T) {
	small, large := PeerRow{Row: Row{Key: "s", Value: noisy(compressAbove)}}, PeerRow{Row: Row{Key: "l", Value: noisy(compressAbove + 1)}}
	if got := small.compress(); got.Compressed != nil || !bytes.Equal(got.Value, small.Value) {
		t.Errorf("a small value is compressed: %d bytes", len(got.Compressed))
	}
	compressed := large.compress()
	if compressed.Compressed == nil || compressed.Value != nil {
		t.Fatal("a large value is not compressed")
	}
	back, err := compressed.decompress()
	if err != nil || !bytes.Equal(back.Value, large.Value) {
		t.Errorf("a compressed value is restored to %d bytes, %v", len(back.Value), err)
	}
	if again := back.compress(); &again.Compressed[0] != &compressed.Compressed[0] || again.Value != nil {
		t.Error("a compressed value is compressed again")
	}
	for _, bad := range [][]byte{{1, 2, 3}, compressed.Compressed[:len(compressed.Compressed)/2]} {
		if _, err := (PeerRow{Compressed: bad}).decompress(); err == nil {
			t.Errorf("%d bytes of invalid compressed data are accepted", len(bad))
		}
	}
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	for range maxValueBytes>>20 + 1 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := (PeerRow{Compressed: bomb.Bytes()}).decompress(); !errors.Is(err, errTooLarge) {
		t.Errorf("%d bytes that decompress to over %d: %v", bomb.Len(), maxValueBytes, err)
	}
}

// TestOlderPeersGetUncompressedRows checks that a requester which does not accept compressed
// rows gets uncompressed values.
func TestOlderPeersGetUncompressedRows(t *testing.T) {
	table := NewTable("t", func(time.Time, []Row) {})
	value := noisy(3 * compressAbove)
	table.Replace(time.Time{}, Snapshot{Rows: []Row{{Table: "t", Key: "l", Value: value, Version: 3}}, Version: 3})
	for _, accepts := range []bool{false, true} {
		reply, err := buildReply(table, &TableRequest{Table: "t", After: -1, AcceptsCompressed: accepts})
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(reply)
		if err != nil {
			t.Fatal(err)
		}
		var old struct {
			Rows []Row `json:"r"`
		}
		if err := json.Unmarshal(text, &old); err != nil {
			t.Fatal(err)
		}
		if got := bytes.Equal(old.Rows[0].Value, value); got == accepts {
			t.Errorf("accepts compressed %v: uncompressed value is %v", accepts, got)
		}
	}
}

// TestBusyPeerRedirectsToHolders checks that few large replies are sent concurrently, and that
// other requesters are redirected to nodes which have received the same version.
func TestBusyPeerRedirectsToHolders(t *testing.T) {
	limiter, v := newReplyLimiter(), tablePosition{"t", history.Position{Version: 7}}
	ctx := context.Background()
	for i := range maxLargeReplies {
		if ok, _ := limiter.acquire(ctx, v); !ok {
			t.Fatalf("reply %d has to wait", i)
		}
	}
	begin := time.Now()
	if ok, others := limiter.acquire(ctx, v); ok || len(others) > 0 || time.Since(begin) < slotWait {
		t.Errorf("one more gets a slot: %v, holders %v after %v", ok, others, time.Since(begin))
	}
	for i := range maxLargeReplies {
		limiter.release(v, fmt.Sprint("n", i))
	}
	for range maxLargeReplies {
		limiter.acquire(ctx, v)
	}
	ok, others := limiter.acquire(ctx, v)
	slices.Sort(others)
	if ok || !slices.Equal(others, []string{"n0", "n1", "n2"}) {
		t.Errorf("one more gets a slot: %v, holders %v, want n0, n1 and n2", ok, others)
	}
	newer := tablePosition{"t", history.Position{Version: 8}}
	if _, others := limiter.acquire(ctx, newer); len(others) > 0 {
		t.Errorf("a request for a newer version is redirected to %v, which have the older one", others)
	}
	limiter.release(newer, "n9")
	limiter.release(v, "late")
	for range 2 {
		limiter.acquire(ctx, newer)
	}
	if ok, others := limiter.acquire(ctx, newer); ok || !slices.Equal(others, []string{"n9"}) {
		t.Errorf("one more gets a slot: %v, holders %v, want n9 alone", ok, others)
	}
}

// BenchmarkCompress measures compressing a configuration of 2,800 routes, which a node does once after
// reading it: 4.9 ms. Encoding each reply (BenchmarkEncodeReply) takes 1.04 ms uncompressed and
// 0.08 ms compressed.
func BenchmarkCompress(b *testing.B) {
	value := benchConfig()
	for b.Loop() {
		if got := (PeerRow{Row: Row{Value: value}}).compress(); got.Compressed == nil {
			b.Fatal("not compressed")
		}
	}
}

// BenchmarkEncodeReply measures encoding a reply with such a configuration, uncompressed and
// compressed.
func BenchmarkEncodeReply(b *testing.B) {
	uncompressed := PeerRow{Row: Row{Value: benchConfig()}}
	for name, row := range map[string]PeerRow{"uncompressed": uncompressed, "compressed": uncompressed.compress()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := json.Marshal(&TableReply{Rows: []PeerRow{row}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// benchConfig returns a configuration of 2,800 routes.
func benchConfig() []byte {
	var out bytes.Buffer
	names := noisy(2800 * 16)
	for i := range 2800 {
		n := names[i*16:]
		fmt.Fprintf(&out, `{"host":"%s.example","kind":"unsafe","max_attempts":1,"name":"r-%s","path_prefix":"/%s/","priority":2,"public":false,`+
			`"resumable":false,"service":"stock","target_latency_ms":150,"timeout_ms":2500},`, n[:4], n[4:10], n[10:16])
	}
	return out.Bytes()
}
