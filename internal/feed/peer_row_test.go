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
)

// noisy returns text of a length that packs badly, as names drawn by chance do.
func noisy(n int) []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, n)
	for i := range out {
		out[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rnd.IntN(36)]
	}
	return out
}

// TestLargeRowsArePackedOnce holds that a large value is kept packed and comes back as it was,
// that a small one stays as it is, and that what can't be unpacked is an error.
func TestLargeRowsArePackedOnce(t *testing.T) {
	small, large := PeerRow{Row: Row{Key: "s", Value: noisy(packAbove)}}, PeerRow{Row: Row{Key: "l", Value: noisy(packAbove + 1)}}
	if got := small.pack(); got.Packed != nil || !bytes.Equal(got.Value, small.Value) {
		t.Errorf("a small value is packed: %d bytes", len(got.Packed))
	}
	packed := large.pack()
	if packed.Packed == nil || packed.Value != nil {
		t.Fatal("a large value is not packed")
	}
	back, err := packed.unpack()
	if err != nil || !bytes.Equal(back.Value, large.Value) {
		t.Errorf("a packed value comes back as %d bytes, %v", len(back.Value), err)
	}
	if again := back.pack(); &again.Packed[0] != &packed.Packed[0] || again.Value != nil {
		t.Error("a value that came packed is packed again")
	}
	for _, bad := range [][]byte{{1, 2, 3}, packed.Packed[:len(packed.Packed)/2]} {
		if _, err := (PeerRow{Packed: bad}).unpack(); err == nil {
			t.Errorf("%d bytes that are no packed value are taken", len(bad))
		}
	}
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	for range unpackedMost>>20 + 1 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := (PeerRow{Packed: bomb.Bytes()}).unpack(); !errors.Is(err, errTooLarge) {
		t.Errorf("%d bytes that unpack to over %d: %v", bomb.Len(), unpackedMost, err)
	}
}

// TestOlderProgramsGetRowsAsTheyWere holds that a node which does not say that it takes
// packed rows gets values.
func TestOlderProgramsGetRowsAsTheyWere(t *testing.T) {
	table := NewTable("t", func(time.Time, []Row) {})
	value := noisy(3 * packAbove)
	table.Replace(time.Time{}, Snapshot{Rows: []Row{{Table: "t", Key: "l", Value: value, Version: 3}}, Version: 3})
	for _, packed := range []bool{false, true} {
		reply, err := answer(table, &TableRequest{Table: "t", After: -1, Packed: packed})
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
		if got := bytes.Equal(old.Rows[0].Value, value); got == packed {
			t.Errorf("asked with packed %v: value as it was is %v", packed, got)
		}
	}
}

// TestAskersAreSentToThoseWhoHave holds that few large answers go out at a time, and that who
// is not answered is told of those that were, for the same version alone.
func TestAskersAreSentToThoseWhoHave(t *testing.T) {
	turns, v := newTurns(), tableVersion{"t", 7}
	ctx := context.Background()
	for i := range answersMost {
		if ok, _ := turns.take(ctx, v); !ok {
			t.Fatalf("answer %d has to wait", i)
		}
	}
	begin := time.Now()
	if ok, others := turns.take(ctx, v); ok || len(others) > 0 || time.Since(begin) < turnWait {
		t.Errorf("one more gets %v and is told of %v after %v", ok, others, time.Since(begin))
	}
	for i := range answersMost {
		turns.end(v, fmt.Sprint("n", i))
	}
	for range answersMost {
		turns.take(ctx, v)
	}
	ok, others := turns.take(ctx, v)
	slices.Sort(others)
	if ok || !slices.Equal(others, []string{"n0", "n1", "n2"}) {
		t.Errorf("one more gets %v and is told of %v, want those that were answered", ok, others)
	}
	newer := tableVersion{"t", 8}
	if _, others := turns.take(ctx, newer); len(others) > 0 {
		t.Errorf("one that asks for a newer version is told of %v, who have the one before", others)
	}
	turns.end(newer, "n9")
	turns.end(v, "late")
	for range 2 {
		turns.take(ctx, newer)
	}
	if ok, others := turns.take(ctx, newer); ok || !slices.Equal(others, []string{"n9"}) {
		t.Errorf("gets %v and is told of %v, want n9 alone", ok, others)
	}
}

// BenchmarkPack measures what a node does once with a configuration of 2,800 routes that
// it has read: 4.9 ms. Before, nothing was packed, and each answer was encoded as it
// was (BenchmarkAnswer: 1.04 ms before, 0.08 ms packed).
func BenchmarkPack(b *testing.B) {
	value := benchConfig()
	for b.Loop() {
		if got := (PeerRow{Row: Row{Value: value}}).pack(); got.Packed == nil {
			b.Fatal("not packed")
		}
	}
}

// BenchmarkAnswer measures the encoding of an answer with such a configuration, as it was
// before and packed.
func BenchmarkAnswer(b *testing.B) {
	whole := PeerRow{Row: Row{Value: benchConfig()}}
	for name, row := range map[string]PeerRow{"before": whole, "packed": whole.pack()} {
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
