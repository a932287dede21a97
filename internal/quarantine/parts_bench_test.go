package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/quarantine"
)

// crashedEngines records n crashes, each under ten requests with three parts, of which the first is shared by all and one is held.
func crashedEngines(q *quarantine.Parts, n int) {
	for i := range n {
		now := at(1000 * i)
		for j := range 10 {
			id := uint64(1000+20*i+2*j) * 0x9e3779b97f4a7c15 // IDs are hashes.
			ids := []uint64{first, id, ^id}
			if j == 0 && i < 5 {
				ids[1] = bad
			}
			q.RecordCrash(now, time.Time{}, now, "p", run(fmt.Sprint("i-", i)), ids)
		}
		q.RecordAnswer(at(1000*i+100), "p", "1", []uint64{first, 9})
	}
}

// BenchmarkPartRecordAnswer measures what an answer costs, by the parts of its prompt, while a part is held.
func BenchmarkPartRecordAnswer(b *testing.B) {
	for _, parts := range []int{3, 32} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			q := newParts()
			crashedEngines(q, 600)
			ids := make([]uint64, parts)
			for i := range ids {
				ids[i] = uint64(1 + i)
			}
			ids[1] = 7777777
			for i := 0; b.Loop(); i++ {
				q.RecordAnswer(at(600_000+i), "p", "1", ids)
			}
		})
	}
}

// BenchmarkPartRecordCrash measures what a request at a crash costs beside 600 crashes before, and their memory and bytes in messages.
func BenchmarkPartRecordCrash(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := newParts()
	crashedEngines(q, 600)
	runtime.GC()
	runtime.ReadMemStats(&after)
	g := q.GossipEntries(at(599_150), 400*time.Millisecond)
	full, err := cbor.Marshal(g)
	if err != nil {
		b.Fatal(err)
	}
	recent, err := cbor.Marshal(g.Recent(400 * time.Millisecond))
	if err != nil {
		b.Fatal(err)
	}
	i := 0
	for ; b.Loop(); i++ {
		now := at(600_000 + 1000*i)
		q.RecordCrash(now, time.Time{}, now, "p", run(fmt.Sprint("j-", i)), []uint64{first, uint64(1e9 + 2*i), uint64(1e9 + 2*i + 1)})
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/600, "heapB/crash")
	b.ReportMetric(float64(len(full)), "B/full-message")
	b.ReportMetric(float64(len(recent)), "B/recent-message")
}
