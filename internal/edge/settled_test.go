package edge

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/platform"
)

// newStoreOfEra returns a store without rows that has named its era, 2, and the number of writes to it.
func newStoreOfEra(t *testing.T) (*platform.Store, *atomic.Int64) {
	t.Helper()
	written := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/rows-tx" {
			written.Add(1)
		}
		w.Header().Set("Store-Era", "2")
		fmt.Fprint(w, `{"rows":[],"ver":7,"now_ms":1}`)
	}))
	t.Cleanup(server.Close)
	store := platform.NewStore([]string{server.Listener.Addr().String()}, time.Second)
	t.Cleanup(store.Close)
	if _, err := store.List(context.Background(), settledTable, ""); err != nil {
		t.Fatal(err)
	}
	return store, written
}

// TestNodeProvenByPeersSettlesTheEra guards against an era that stays unsettled since the node that is to write it never reads.
func TestNodeProvenByPeersSettlesTheEra(t *testing.T) {
	store, written := newStoreOfEra(t)
	e := &Edge{proof: freshness.New(4 * time.Second), log: slog.New(slog.DiscardHandler), store: store}
	e.configTable = feed.NewTable(platform.TableConfig, func(time.Time, []feed.Row) {})
	for i, step := range []struct {
		change func()
		want   int64
	}{
		{func() {}, 0},
		{func() { e.configTable.Replace(time.Now(), feed.Snapshot{Era: 2, Version: 7}) }, 0},
		{func() { e.provenByPeer(time.Now(), 0) }, 1},
		{func() { e.noteReturn(time.Now(), 2) }, 1},
	} {
		step.change()
		if done, err := e.writeSettled(context.Background()); err != nil || written.Load() != step.want || done != (i == 2) {
			t.Errorf("step %d: done %v, %v, written %d times, want %d", i, done, err, written.Load(), step.want)
		}
	}
}

// TestAnswerFromBeforeTheEraWasSettledProvesNothing guards against a copy that was read long before the row that settles its era.
func TestAnswerFromBeforeTheEraWasSettledProvesNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	store, _ := newStoreOfEra(t)
	for took, want := range map[time.Duration]bool{settledMargin: true, settledMargin + time.Millisecond: false} {
		e := &Edge{proof: freshness.New(4 * time.Second), firstAnswer: make(chan struct{}), store: store}
		e.configProven(start)
		if e.proof.Fresh(start) {
			t.Error("an answer proves the configuration before the row was read")
		}
		if e.answersProveFrom(start.Add(took), time.Time{}); e.proof.Fresh(start.Add(took)) != want {
			t.Errorf("an answer from %v before the row was read proves the configuration: %v", took, !want)
		}
	}
}

// TestNodeThatStartsAloneDoesNotBelieveACopy guards against a fleet that is lost at a return and starts with the copy's keys.
func TestNodeThatStartsAloneDoesNotBelieveACopy(t *testing.T) {
	for name, test := range map[string]struct {
		settled string // settled is the row's value; none if it is empty.
		first   bool   // first is set at the first start of the whole system.
		waits   bool
	}{
		"a copy from before the return":  {settled: `{"era":1}`, waits: true},
		"no row":                         {waits: true},
		"a row that can't be read":       {settled: `x`, waits: true},
		"written again since the return": {settled: `{"era":2}`},
		"the first start":                {first: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Pointer[string]
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				rows, table := "", r.URL.Query().Get("table")
				switch {
				case r.URL.Path == "/-/rows-tx":
					if body, err := io.ReadAll(r.Body); err == nil && strings.Contains(string(body), settledTable) {
						text := string(body)
						written.Store(&text)
					}
				case r.URL.Path == "/-/rows-feed":
					time.Sleep(20 * time.Millisecond)
				case table == "op":
					rows = fmt.Sprintf(`{"table":"op","tls_key":"config","value":%q,"ver":5}`, base64.StdEncoding.EncodeToString([]byte(configRow)))
				case table == settledTable && test.settled != "":
					rows = fmt.Sprintf(`{"table":%q,"tls_key":%q,"value":%q,"ver":6}`, settledTable, settledKey, base64.StdEncoding.EncodeToString([]byte(test.settled)))
				}
				w.Header().Set("Store-Era", "2")
				fmt.Fprintf(w, `{"rows":[%s],"ver":7,"now_ms":%d}`, rows, time.Now().UnixMilli())
			}))
			defer server.Close()
			s := newSettings(t, "self", server.Listener.Addr().String())
			s.FirstStart = test.first
			begin := time.Now()
			e, err := Start(context.Background(), s, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := e.stop(); err != nil {
					t.Errorf("stop: %v", err)
				}
			}()
			waitFor(t, func() bool { return e.dispatcher.Version() == 3 && e.Ready(time.Now()) }, "not ready")
			if took := time.Since(begin); took >= rewriteTime != (test.waits || test.first) { // At the first start nodes read after a while.
				t.Errorf("ready after %v", took)
			}
			if test.settled == `{"era":2}` {
				return
			}
			waitFor(t, func() bool { return written.Load() != nil }, "the row is not written")
			if want := base64.StdEncoding.EncodeToString([]byte(`{"era":2}`)); !strings.Contains(*written.Load(), want) {
				t.Errorf("written is %s", *written.Load())
			}
		})
	}
}
