package pinning

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/peer"
)

// peers are the other nodes of a benchmark.
type peers []Node

func (p peers) Keepers(time.Time) (list []Node, direct bool) { return p, true }
func (p peers) Complete(time.Time) bool                      { return true }

// BenchmarkRecord measures the record of one stream at a node with 62 others, of which three keep it:
// processor time of all four, and bytes on the wire without the headers of packets.
func BenchmarkRecord(b *testing.B) {
	var others peers
	for i := range 62 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		traffic := &peer.Traffic{}
		k := NewKeeper(peers{}, peer.NewClient(traffic), quiet)
		s := peer.NewServer(l, traffic, quiet)
		s.Handle(MethodRecord, peer.Typed(k.HandleRecord))
		go s.Serve()
		b.Cleanup(func() { s.Close(); k.Close() })
		others = append(others, Node{Name: fmt.Sprint("n", i), Address: l.Addr().String(), Hall: fmt.Sprint("h", i%5)})
	}
	traffic := &peer.Traffic{}
	client := peer.NewClient(traffic)
	defer client.Close()
	k := NewKeeper(others, client, quiet)
	defer k.Close()
	ctx, now := context.Background(), time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k.Record(ctx, now, StreamOf("team", fmt.Sprint(i)), Origin{"croft-pool", "v1.2"})
	}
	k.Close()
	b.ReportMetric(float64(traffic.BytesOut.Load()+traffic.BytesIn.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkRecordsKept measures the memory of a record.
func BenchmarkRecordsKept(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, now := records{}, time.Now()
		const n = 40_000
		for i := range n {
			r.put(now, StreamOf("team", fmt.Sprint(i)), Origin{"croft-pool", "v1.2"}, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/record")
		runtime.KeepAlive(&r)
	}
}
