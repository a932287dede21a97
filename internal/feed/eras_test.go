package feed_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
)

// testCarry compares numbers and keeps rows for an hour. Keys that begin with an f hold no number that rises.
var testCarry = feed.Carry{
	Compare: func(a, b feed.Row) (int, bool) {
		x, errX := strconv.Atoi(string(a.Value))
		y, errY := strconv.Atoi(string(b.Value))
		return cmp.Compare(x, y), errX == nil && errY == nil && !strings.HasPrefix(a.Key, "f")
	},
	Lasting: func(key string) bool { return key == "config" },
	Missing: time.Hour, Older: time.Hour,
}

// eraNode is a node of TestNoNodeGoesBackAcrossReturns.
type eraNode struct {
	table  *feed.Table
	reader *feed.Reader
	follow *feed.Follower
	live   map[string]int // live holds the numbers in force.
	back   []string       // back describes the numbers that fell.
}

// newEraNode starts a node without rows.
func newEraNode(net directCaller, name string, calls *slowCalls) *eraNode {
	n := &eraNode{live: map[string]int{}}
	newest := map[string]int{}
	n.table = feed.NewTable("t", func(_ time.Time, rows []feed.Row) {
		for _, r := range rows {
			number, _ := strconv.Atoi(string(r.Value))
			if !r.Deleted && number < newest[r.Key] && !strings.HasPrefix(r.Key, "f") {
				n.back = append(n.back, fmt.Sprintf("%s from %d to %d", r.Key, newest[r.Key], number))
			}
			if r.Deleted {
				delete(n.live, r.Key)
				continue
			}
			n.live[r.Key], newest[r.Key] = number, max(number, newest[r.Key])
		}
	}, feed.WithCarry(testCarry))
	n.reader = &feed.Reader{Table: n.table, Source: calls, Log: quiet, OnFailure: func(time.Time) {}}
	n.follow = feed.NewFollower(name, calls, quiet, n.table)
	net[name] = n.follow
	return n
}

// slowCalls are the answers of a store or of peers between which and their use other things happen.
type slowCalls struct {
	feed.Source
	feed.Caller
	meanwhile func()
}

// pass runs what happens while an answer is on its way. Calls that are made then are answered at once.
func (c *slowCalls) pass() {
	if f := c.meanwhile; f != nil {
		c.meanwhile = nil
		f()
	}
}

func (c *slowCalls) List(ctx context.Context, table, part string) (feed.Snapshot, error) {
	snap, err := c.Source.List(ctx, table, part)
	c.pass()
	return snap, err
}

func (c *slowCalls) Changes(ctx context.Context, table string, after int64, wait time.Duration) (feed.Snapshot, error) {
	snap, err := c.Source.Changes(ctx, table, after, wait)
	c.pass()
	return snap, err
}

func (c *slowCalls) Call(ctx context.Context, address, method string, params, result any) error {
	err := c.Caller.Call(ctx, address, method, params, result)
	c.pass()
	return err
}

// writers are the operator and the engines, which know what they last wrote.
type writers struct {
	store *copiedStore
	held  map[string]int
	last  int
}

// write writes the next number of a key, or deletes the key.
func (w *writers) write(key string, remove bool) {
	if remove && key != "config" {
		delete(w.held, key)
		w.store.put(key, "")
		return
	}
	w.last++
	w.held[key] = w.last
	w.store.put(key, fmt.Sprint(w.last))
}

// again writes everything once more, as after a return, and deletes what is gone.
func (w *writers) again() {
	for key, number := range w.held {
		w.store.put(key, fmt.Sprint(number))
	}
	for key := range w.store.rows {
		if _, ok := w.held[key]; !ok {
			w.store.put(key, "")
		}
	}
}

// eraWorld is the nodes, the store and its writers of one run of TestNoNodeGoesBackAcrossReturns.
type eraWorld struct {
	*testing.T
	*rand.Rand
	seed  uint64
	net   directCaller
	store *copiedStore
	calls *slowCalls
	w     *writers
	nodes []*eraNode
	done  context.Context // done has ended, so that readers make no pause after changes.
}

// read makes a node read the store; a 410 takes a second call.
func (x *eraWorld) read(i int) {
	for range 3 {
		if x.nodes[i].reader.Read(x.done) == nil {
			return
		}
	}
}

// tell makes a node hear what another one announces.
func (x *eraWorld) tell(from, to int) {
	x.nodes[to].follow.Observe(start.Add(time.Duration(x.Int64())), fmt.Sprint(from), x.nodes[from].follow.Announcement())
	x.nodes[to].follow.Wait()
}

// call is a call of a node: of its reader, or of its follower.
type call struct {
	node  int
	reads bool
}

// step does one thing at random, also while a call is on its way. A reader and a follower make one call at a time.
func (x *eraWorld) step(underWay *call) {
	keys := []string{"config", "e1", "e2", "e3", "f1", "f2"}
	i, key := x.IntN(len(x.nodes)), keys[x.IntN(len(keys))]
	begin := func(reads bool) bool {
		this := call{i, reads}
		if underWay != nil && *underWay == this {
			return false
		}
		x.calls.meanwhile = nil
		if underWay == nil && x.IntN(3) == 0 {
			x.calls.meanwhile = func() {
				for range 1 + x.IntN(4) {
					x.step(&this)
				}
			}
		}
		return true
	}
	switch x.IntN(12) {
	case 0, 1, 2:
		x.w.write(key, x.IntN(4) == 0)
	case 3:
		x.store.goBack(max(1, x.store.version-x.Int64N(10)))
		if x.IntN(2) == 0 {
			x.w.again()
		}
	case 4, 5, 6:
		if begin(true) {
			x.read(i)
		}
	case 7:
		if underWay == nil || i != underWay.node {
			x.nodes[i].checkBack(x.T, x.seed, i)
			x.nodes[i] = newEraNode(x.net, fmt.Sprint(i), x.calls)
		}
	default:
		if from := x.IntN(len(x.nodes)); begin(false) {
			x.tell(from, i)
		}
	}
}

// TestNoNodeGoesBackAcrossReturns checks random orders of writes, returns, reads, starts and messages, also while answers are on their way.
func TestNoNodeGoesBackAcrossReturns(t *testing.T) {
	at, cancel := context.WithCancel(context.Background())
	cancel()
	for seed := range uint64(fromEnv("ERA_SEEDS", 400)) {
		net, store := directCaller{}, newCopiedStore()
		x := &eraWorld{T: t, Rand: rand.New(rand.NewPCG(seed, 7)), seed: seed, net: net, store: store, calls: &slowCalls{Source: store, Caller: net}, w: &writers{store: store, held: map[string]int{}}, done: at}
		x.w.write("config", false)
		for i := range 4 {
			x.nodes = append(x.nodes, newEraNode(net, fmt.Sprint(i), x.calls))
		}
		for range 120 {
			x.step(nil)
		}
		x.calls.meanwhile = nil
		x.w.again()
		for i := range x.nodes {
			x.read(i)
		}
		for range 3 {
			for i := range x.nodes {
				x.tell((i+1)%len(x.nodes), i)
			}
		}
		for i, n := range x.nodes {
			n.checkEnd(t, seed, i, x.w.held)
		}
		if t.Failed() {
			return
		}
	}
}

// fromEnv returns the number in an environment variable, or a default.
func fromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// checkEnd fails the test unless the node has what was written once the times of kept rows have passed.
func (n *eraNode) checkEnd(t *testing.T, seed uint64, i int, want map[string]int) {
	t.Helper()
	n.table.Expire(start.Add(100 * 365 * 24 * time.Hour))
	n.checkBack(t, seed, i)
	if fmt.Sprint(n.live) != fmt.Sprint(want) {
		t.Errorf("seed %d: node %d has %v, written is %v", seed, i, n.live, want)
	}
	n.table.Close()
}

// checkBack fails the test if a number in force fell at a node.
func (n *eraNode) checkBack(t *testing.T, seed uint64, i int) {
	t.Helper()
	for _, text := range n.back {
		t.Errorf("seed %d: node %d went back: %s", seed, i, text)
	}
}
