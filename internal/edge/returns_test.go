package edge

import (
	"context"
	"encoding/base64"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/platform"
)

// TestConfigurationIsNotProvenByACopy guards against a copy that proves a configuration, and a second wait for one return.
func TestConfigurationIsNotProvenByACopy(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	returned := func(e *Edge, ms int, table string, era int64) {
		e.storeReturned(at(ms), feed.Return{Table: table, After: history.Position{Era: era}})
	}
	proven := func(e *Edge, ms int) bool {
		e.configProven(at(ms))
		age, ok := e.proof.Age(at(ms))
		return ok && age == 0
	}
	newEdge := func() *Edge {
		e := &Edge{proof: freshness.New(4 * time.Second), firstAnswer: make(chan struct{}), log: slog.New(slog.DiscardHandler), store: platform.NewStore([]string{"127.0.0.1:1"}, time.Second)}
		e.answersProveFrom(time.Time{}, time.Time{})
		return e
	}
	e := newEdge()
	if !proven(e, 0) {
		t.Error("an answer proves nothing before any return")
	}
	returned(e, 1000, platform.TableEngines, 1)
	returned(e, 2500, platform.TableConfig, 1)
	for ms, want := range map[int]bool{1100: false, 2999: false} {
		if got := proven(e, ms); got != want {
			t.Errorf("an answer %d ms after the return proves the configuration: %v", ms-1000, got)
		}
	}
	if wait := e.configWait(at(2900)); wait > 200*time.Millisecond {
		t.Errorf("the call before an answer may be a proof waits %v", wait)
	}
	for ms, want := range map[int]time.Duration{3000: 250 * time.Millisecond, 3900: 250 * time.Millisecond, 4100: configLongPoll} {
		if wait := e.configWait(at(ms)); wait > want {
			t.Errorf("a call %d ms after the return waits %v, want %v: other nodes wait for its proof", ms-1000, wait, want)
		}
	}
	if !proven(e, 3000) {
		t.Error("the second table to see the return prolongs the time without a proof")
	}
	returned(e, 3100, platform.TableConfig, 2)
	if proven(e, 3200) || !proven(e, 5100) {
		t.Error("a second return does not count")
	}
	started := newEdge()
	started.configTable = feed.NewTable(platform.TableConfig, func(time.Time, []feed.Row) {})
	started.configTable.Replace(at(0), feed.Snapshot{Era: 1, Version: 7})
	if !proven(started, 0) {
		t.Error("an answer proves nothing at a node that has started")
	}
	started.heardOfReturn(at(500), gossip.State{ReturnAgeMs: 800, Eras: map[string]int64{platform.TableConfig: 1}})
	if proven(started, 1100) || !proven(started, 1700) {
		t.Error("a node that has started believes the copy, though a peer tells of the return")
	}
}

// TestRunningNodeKeepsItsProofAtAReturn guards against nodes that refuse keys because a peer was first to see a return.
func TestRunningNodeKeepsItsProofAtAReturn(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	e := &Edge{proof: freshness.New(4 * time.Second), firstAnswer: make(chan struct{}), log: slog.New(slog.DiscardHandler), store: platform.NewStore([]string{"127.0.0.1:1"}, time.Second)}
	e.configTable = feed.NewTable(platform.TableConfig, func(time.Time, []feed.Row) {}, feed.WithReturnObserver(e.storeReturned))
	e.configTable.Replace(at(0), feed.Snapshot{Era: 1, Version: 7})
	e.answersProveFrom(time.Time{}, time.Time{})
	e.configProven(at(0))
	told := gossip.State{ReturnAgeMs: 200, Eras: map[string]int64{platform.TableConfig: 2}}
	if e.heardOfReturn(at(1000), told); !e.proof.Fresh(at(1000)) {
		t.Error("the proof of the earlier era is dropped")
	}
	e.configTable.Replace(at(1100), feed.Snapshot{Era: 2, Version: 3})
	for ms, want := range map[int]bool{1200: false, 2799: false, 2800: true} {
		if got := !e.mayLackWrites(at(ms)); got != want {
			t.Errorf("%d ms after the return an answer of the store proves the configuration: %v", ms-800, got)
		}
	}
	told = gossip.State{ReturnAgeMs: 10_000, Eras: map[string]int64{platform.TableConfig: 3}}
	e.heardOfReturn(at(20_000), told)
	e.configTable.Replace(at(20_100), feed.Snapshot{Era: 3, Version: 3})
	if e.mayLackWrites(at(20_100)) {
		t.Error("a node that was away waits again for what was written long ago")
	}
}

// TestPeerThatKnowsTheCopyProvesNothing guards against a proof from a peer that has only read the copy.
func TestPeerThatKnowsTheCopyProvesNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	e := &Edge{proof: freshness.New(4 * time.Second), firstAnswer: make(chan struct{}), log: slog.New(slog.DiscardHandler), store: platform.NewStore([]string{"127.0.0.1:1"}, time.Second)}
	e.answersProveFrom(time.Time{}, time.Time{})
	e.configProven(at(0))
	e.storeReturned(at(1000), feed.Return{Table: platform.TableEngines, After: history.Position{Era: 1}})
	for ms, want := range map[int]time.Duration{1500: 1500 * time.Millisecond, 2999: 2999 * time.Millisecond} {
		e.provenByPeer(at(ms), 0)
		if age, _ := e.proof.Age(at(ms)); age != want {
			t.Errorf("%d ms after the return a peer's proof counts: age %v, want %v", ms-1000, age, want)
		}
	}
	if e.provenByPeer(at(3000), 0); !e.proof.Fresh(at(6900)) {
		t.Error("a peer's proof from after the time to write again does not count")
	}
}

// TestSuspensionDuringAReturnMakesFewCalls guards against a node that reads the store without a pause until an answer is a proof.
func TestSuspensionDuringAReturnMakesFewCalls(t *testing.T) {
	const left = 300 * time.Millisecond
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if r.URL.Path == "/-/rows-get" {
			fmt.Fprintf(w, `{"rows":[{"table":"op","tls_key":"config","value":%q,"ver":5}],"ver":7,"now_ms":1}`, base64.StdEncoding.EncodeToString([]byte(configRow)))
			return
		}
		fmt.Fprint(w, `{"rows":[],"ver":7,"now_ms":1}`)
	}))
	defer server.Close()
	e := &Edge{proof: freshness.New(4 * time.Second), firstAnswer: make(chan struct{}), log: slog.New(slog.DiscardHandler), store: platform.NewStore([]string{server.Listener.Addr().String()}, time.Second)}
	defer e.store.Close()
	ignore := func(time.Time, []feed.Row) {}
	e.configTable, e.engineTable = feed.NewTable(platform.TableConfig, ignore), feed.NewTable(platform.TableEngines, ignore)
	begin := clock.Now()
	e.answersProveFrom(time.Time{}, time.Time{})
	e.noteReturn(begin.Add(left-rewriteTime), 1)
	e.refreshTables(context.Background())
	if took := clock.Since(begin); took < left || took > 2*left || calls.Load() > 8 {
		t.Errorf("the configuration was proven after %v and %d calls, want %v and a few", took, calls.Load(), left)
	}
}

// TestOperatorsSeeAReturn checks the era and the kept rows that operators are shown.
func TestOperatorsSeeAReturn(t *testing.T) {
	now := time.Now()
	e := &Edge{proof: freshness.New(time.Second), log: slog.New(slog.DiscardHandler)}
	ignore := func(time.Time, []feed.Row) {}
	e.configTable = feed.NewTable(platform.TableConfig, ignore, feed.WithCarry(configCarry()), feed.WithReturnObserver(e.storeReturned))
	e.engineTable = feed.NewTable(platform.TableEngines, ignore)
	e.configTable.Replace(now, feed.Snapshot{Version: 7, Rows: []feed.Row{{Key: "config", Value: []byte(configRow), Version: 7}}})
	e.configTable.Replace(now, feed.Snapshot{Era: 1, Version: 3})
	rows := e.storeRows(now)
	if len(rows) != 2 || rows[0].Count != 1 || rows[0].State != "came back from a copy" || !strings.HasPrefix(rows[0].Reason, "era 1, version 0") || e.returns.Load() != 1 {
		t.Errorf("%+v, %d returns", rows, e.returns.Load())
	}
}
