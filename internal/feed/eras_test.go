package feed_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
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
func newEraNode(net directCaller, name string, store feed.Source) *eraNode {
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
	n.reader = &feed.Reader{Table: n.table, Source: store, Log: quiet, OnFailure: func(time.Time) {}}
	n.follow = feed.NewFollower(name, net, quiet, n.table)
	net[name] = n.follow
	return n
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

// TestNoNodeGoesBackAcrossReturns checks random orders of writes, returns, reads, starts and messages.
func TestNoNodeGoesBackAcrossReturns(t *testing.T) {
	keys := []string{"config", "e1", "e2", "e3", "f1", "f2"}
	for seed := range uint64(400) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		net, store := directCaller{}, newCopiedStore()
		w := &writers{store: store, held: map[string]int{}}
		w.write("config", false)
		nodes := make([]*eraNode, 4)
		for i := range nodes {
			nodes[i] = newEraNode(net, fmt.Sprint(i), store)
		}
		at, cancel := context.WithCancel(context.Background())
		cancel() // The reader then makes no pause after changes.
		read := func(i int) {
			for range 3 { // A 410 takes a second call.
				if nodes[i].reader.Read(at) == nil {
					return
				}
			}
		}
		tell := func(from, to int) {
			nodes[to].follow.Observe(start.Add(time.Duration(rnd.Int64())), fmt.Sprint(from), nodes[from].follow.Announcement())
			nodes[to].follow.Wait()
		}
		for range 120 {
			switch i, key := rnd.IntN(len(nodes)), keys[rnd.IntN(len(keys))]; rnd.IntN(12) {
			case 0, 1, 2:
				w.write(key, rnd.IntN(4) == 0)
			case 3:
				store.goBack(max(1, store.version-rnd.Int64N(10)))
				if rnd.IntN(2) == 0 {
					w.again()
				}
			case 4, 5, 6:
				read(i)
			case 7:
				nodes[i].checkBack(t, seed, i)
				nodes[i] = newEraNode(net, fmt.Sprint(i), store)
			default:
				tell(rnd.IntN(len(nodes)), i)
			}
		}
		w.again()
		for i := range nodes {
			read(i)
		}
		for range 3 {
			for i := range nodes {
				tell((i+1)%len(nodes), i)
			}
		}
		for i, n := range nodes {
			n.checkEnd(t, seed, i, w.held)
		}
		if t.Failed() {
			return
		}
	}
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
