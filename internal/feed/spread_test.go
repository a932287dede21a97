package feed_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/peer"
)

// Guards against slow propagation of a large table. A configuration of 2,800 routes (0.57 MB) was
// not in force at most of 87 nodes three seconds after its acknowledgement, when it was due.
//
// Two small nodes (a fifth of a core, 10 Mbit/s) read it from the store within 0.84 s, and some fifty
// nodes requested it from them at once. Encoding each reply separately used up the readers' processors
// for two seconds (165 KB/s sent); then their links were saturated (1.1 to 1.3 MB/s). Each pull was
// abandoned after one second, whatever had arrived, and retried: 454 pulls failed. Other nodes whose
// configuration was no longer known to be current then read the store over the same saturated links.
// The three nodes that read the store had the configuration after 0.8 s, the median node after 4 s.
//
// The work of one source grew with the number of nodes times the table size, while the time limit of a
// pull was fixed and partial results were discarded. Above some size no pull succeeded, and retries kept
// it so.

const (
	linkBytesPerSecond = 1_250_000 // linkBytesPerSecond is the bandwidth of a small node's link.
	linkBurstBytes     = 16 << 10  // linkBurstBytes is how many bytes are sent at once.
	nodeCount          = 40
	announcers         = 3 // announcers is how many nodes announce their versions; the others request only from them.
)

// routeCount is the number of routes of the configuration, and routesDeadline the time in which it must
// spread: three seconds after its acknowledgement, less half a second for readers and messages. The race
// detector takes three quarters of the processor time of forty nodes in one process, so the limit is
// longer with it; the tests are run without it, too.
const (
	routeCount     = 2800
	routesDeadline = raceFactor * 2500 * time.Millisecond
)

// link is a node's outgoing link, shared by all its connections.
type link struct {
	net.Listener
	mu   sync.Mutex
	free time.Time // free is when the link has sent all bytes so far.
}

// Accept returns a connection whose writes share the link's bandwidth.
func (l *link) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{conn, l}, nil
}

// reserve returns when the link will have sent n more bytes.
func (l *link) reserve(now time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / linkBytesPerSecond)
	return l.free
}

// linkConn is a connection limited by a link.
type linkConn struct {
	net.Conn
	link *link
}

// Write writes at the link's bandwidth.
func (c *linkConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), linkBurstBytes)
		<-time.After(time.Until(c.link.reserve(time.Now(), n)))
		m, err := c.Conn.Write(p[:n])
		written += m
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// spreadNode is a node that serves a table to peers and fetches it from them.
type spreadNode struct {
	address  string
	table    *feed.Table
	follower *feed.Follower
	got      chan []byte
	rows     atomic.Int64 // rows counts the rows received.
}

// newSpreadNode starts a node with an empty table.
func newSpreadNode(t *testing.T) *spreadNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &spreadNode{address: l.Addr().String(), got: make(chan []byte, 1)}
	n.table = feed.NewTable("t", func(_ time.Time, rows []feed.Row) {
		n.rows.Add(int64(len(rows)))
		n.got <- rows[len(rows)-1].Value
	})
	calls := peer.NewClient(&peer.Traffic{})
	n.follower = feed.NewFollower(n.address, calls, quiet, n.table)
	server := peer.NewServer(&link{Listener: l}, &peer.Traffic{}, quiet)
	server.Handle(feed.MethodTable, peer.Typed(n.follower.HandleTable))
	go server.Serve()
	t.Cleanup(func() {
		if err := n.follower.Close(); err != nil {
			t.Error(err)
		}
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		calls.Close()
	})
	return n
}

// newSpreadNodes starts nodes with empty tables.
func newSpreadNodes(t *testing.T) []*spreadNode {
	t.Helper()
	nodes := make([]*spreadNode, nodeCount)
	for i := range nodes {
		nodes[i] = newSpreadNode(t)
	}
	return nodes
}

// announce tells other nodes this node's version ten times a second, as its messages do.
func (n *spreadNode) announce(ctx context.Context, others []*spreadNode) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, o := range others {
			if o != n {
				o.follower.Observe(start, n.address, n.follower.Announcement())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// manyRoutes returns a configuration with random names, in the operator's format.
func manyRoutes(count int) []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	word := func(n int) string {
		const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
		out := make([]byte, n)
		for i := range out {
			out[i] = letters[rnd.IntN(len(letters))]
		}
		return string(out)
	}
	routes := make([]any, 0, count)
	for range count {
		routes = append(routes, map[string]any{
			"name": "r-" + word(7), "host": word(6) + ".example", "path_prefix": "/" + word(8) + "/", "kind": "unsafe", "timeout_ms": 2500,
			"target_latency_ms": 150, "priority": 2, "service": "stock", "max_attempts": 1, "public": false, "resumable": false,
		})
	}
	text, err := json.Marshal(map[string]any{"version": 10, "routes": routes})
	if err != nil {
		panic(err)
	}
	return text
}

// TestALargeRowReachesAllNodesInTime checks that a configuration of 2,800 routes read by one node reaches
// forty nodes in time, though only three nodes with slow links announce it.
func TestALargeRowReachesAllNodesInTime(t *testing.T) {
	value := manyRoutes(routeCount)
	nodes := newSpreadNodes(t)
	for _, n := range nodes {
		n.table.Replace(start, feed.Snapshot{Version: 1})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var announcing sync.WaitGroup
	defer announcing.Wait()
	defer cancel()
	begin := time.Now()
	nodes[0].table.Apply(begin, []feed.Row{{Table: "t", Key: "config", Value: value, Version: 10}})
	for _, n := range nodes[:announcers] {
		announcing.Go(func() { n.announce(ctx, nodes) })
	}
	deadline := time.After(routesDeadline)
	for i, n := range nodes {
		select {
		case got := <-n.got:
			if !bytes.Equal(got, value) {
				t.Errorf("node %d has %d bytes, want the %d that were read", i, len(got), len(value))
			}
		case <-deadline:
			t.Fatalf("%v after reading a configuration of %d bytes: %s", time.Since(begin), len(value), describeMissing(nodes[i:]))
		}
	}
	t.Logf("%d bytes reached %d nodes in %v", len(value), len(nodes), time.Since(begin))
}

// describeMissing describes how many of the nodes have received nothing.
func describeMissing(nodes []*spreadNode) string {
	count := 0
	for _, n := range nodes {
		if len(n.got) == 0 {
			count++
		}
	}
	return fmt.Sprintf("%d nodes have not received it", count)
}

// manyEngines returns engine entries in the store's format.
func manyEngines(count int) []feed.Row {
	rnd := rand.New(rand.NewPCG(2, 1))
	rows := make([]feed.Row, 0, count)
	for i := range count {
		value := fmt.Sprintf(`{"service":"huvo11a","address":"10.%d.%d.%d:%d","zone":"hall-%d","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d}`,
			128+i%3, rnd.IntN(256), rnd.IntN(256), 8000+rnd.IntN(1000), i%3, rnd.IntN(10))
		rows = append(rows, feed.Row{Table: "t", Key: fmt.Sprintf("i-%010x", rnd.Uint64()>>24), Value: []byte(value), Version: int64(i + 1)})
	}
	return rows
}

// enginesDeadline is the time in which nodes that start together must have the engines: five seconds for 300
// nodes. There replies pass through four nodes in sequence, among forty through two or three, hence half of that.
const (
	engineCount     = 3000
	enginesDeadline = raceFactor * 2500 * time.Millisecond
)

// TestManyEnginesReachAllNodesInTime checks that 3,000 engines read by one node reach forty nodes in time
// that have slow links and start together with empty tables.
func TestManyEnginesReachAllNodesInTime(t *testing.T) {
	nodes := newSpreadNodes(t)
	ctx, cancel := context.WithCancel(context.Background())
	var announcing sync.WaitGroup
	defer announcing.Wait()
	defer cancel()
	begin := time.Now()
	nodes[0].table.Replace(begin, feed.Snapshot{Rows: manyEngines(engineCount), Version: engineCount})
	for _, n := range nodes[:announcers] {
		announcing.Go(func() { n.announce(ctx, nodes) })
	}
	deadline := time.After(enginesDeadline)
	for i, n := range nodes {
		select {
		case <-n.got:
			if got := n.rows.Load(); got != engineCount {
				t.Errorf("node %d received %d engines, want %d", i, got, engineCount)
			}
		case <-deadline:
			t.Fatalf("%v after reading %d engines: %s", time.Since(begin), engineCount, describeMissing(nodes[i:]))
		}
	}
	t.Logf("%d engines reached %d nodes in %v", engineCount, len(nodes), time.Since(begin))
}
