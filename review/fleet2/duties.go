//go:build review

package fleet2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The settings of the site for singleton duties.
const (
	LeaseMs   = 3000
	ThawSlack = 300 * time.Millisecond
	Zone      = "zgz-a"
)

// DutyCall is a call to the platform's API.
type DutyCall struct {
	At      time.Time
	Path    string
	Holder  string
	Token   int64
	Subject string
}

// API is the platform's API, which does not enforce the fence.
type API struct {
	W     *World
	mu    sync.Mutex
	calls []DutyCall
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string         `json:"service"`
		Zone    string         `json:"zone"`
		Count   int            `json:"desired_count"`
		Window  int64          `json:"window_number"`
		Counts  map[string]int `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	c := DutyCall{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("Duty-Holder"), Token: token}
	if c.Path == "/scale" {
		c.Subject = body.Service + " in " + body.Zone
	}
	a.mu.Lock()
	a.calls = append(a.calls, c)
	a.mu.Unlock()
	a.W.Logf("platform gets %s from %s with token %d: %+v", c.Path, c.Holder, c.Token, body)
}

// Calls returns the calls so far.
func (a *API) Calls() []DutyCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]DutyCall(nil), a.calls...)
}

// DutyFleet is three nodes with ways of their own to the platform's store and API, of which the first holds the duties.
type DutyFleet struct {
	*World
	API     *API
	Nodes   []*Node
	Stores  []*CutListener
	Duties  []*CutListener
	writes  []*atomic.Int64
	settled []chan struct{} // settled receive a value when a node has stored a window that it will report.
}

// StartDuties starts the fleet. The first node, a small one, orders an engine and gets it; the others are added later.
func (w *World) StartDuties() (*DutyFleet, error) {
	f := &DutyFleet{World: w, API: &API{W: w}}
	for i := range 2 {
		if _, err := w.AddEngine(fmt.Sprintf("i-%d", i), "croft-pool", Zone, "127.0.0.1", 64, nil); err != nil {
			return nil, err
		}
	}
	if err := w.Put("op", "config", DutyConfig(3, 1)); err != nil {
		return nil, err
	}
	for i := range 3 {
		writes := &atomic.Int64{}
		settled := make(chan struct{}, 1)
		store, err := w.ServeCut(w.IP(i, 2)+":0", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // A body that was cut off fails at the store.
			r.Body = io.NopCloser(bytes.NewReader(body))
			w.Platform.ServeHTTP(rw, r)
			if r.URL.Path == "/-/rows-tx" {
				writes.Add(1)
			}
			if settlesWindow(body) {
				select {
				case settled <- struct{}{}:
				default:
				}
			}
		}))
		if err != nil {
			return nil, err
		}
		duties, err := w.ServeCut(w.IP(i, 2)+":0", f.API)
		if err != nil {
			return nil, err
		}
		n, err := w.AddNode(i, Zone, map[string]any{
			"platform_addresses": []string{store.Addr().String()}, "duties_address": duties.Addr().String(), "duties": []string{"usage", "scaling"},
			"lease_ms": LeaseMs, "usage_window_ms": 5000, "usage_late_ms": 10000, "first_start": i == 0, "processor_share": []float64{0.4, 0.8, 0.8}[i],
		})
		if err != nil {
			return nil, err
		}
		f.Nodes, f.Stores, f.Duties, f.writes, f.settled = append(f.Nodes, n), append(f.Stores, store), append(f.Duties, duties), append(f.writes, writes), append(f.settled, settled)
		for end := time.Now().Add(15 * time.Second); i == 0 && len(f.API.Calls()) == 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return nil, fmt.Errorf("%s does not take the duties", n.Name)
			}
		}
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // The engine that was ordered boots.
	if _, err := w.AddEngine("i-2", "croft-pool", Zone, "127.0.0.1", 64, nil); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return f, f.awaitReport()
}

// awaitReport waits until the first node has just reported usage, so that the next report is some seconds away.
func (f *DutyFleet) awaitReport() error {
	before := len(f.API.Calls())
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		calls := f.API.Calls()
		if last := len(calls) - 1; last >= before && calls[last].Path == "/usage" {
			if calls[last].Holder != f.Nodes[0].Name {
				return fmt.Errorf("%s holds the duties", calls[last].Holder)
			}
			time.Sleep(300 * time.Millisecond)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no report of usage: %+v", calls)
		}
	}
}

// AwaitRenewal waits until the first node has renewed its lease.
func (f *DutyFleet) AwaitRenewal() {
	for before := f.writes[0].Load(); f.writes[0].Load() == before; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // The answer reaches the node.
}

// settlesWindow reports whether a transaction stores a window of usage whose counts are final.
func settlesWindow(body []byte) bool {
	var tx struct {
		Puts []Row `json:"puts"`
	}
	if json.Unmarshal(body, &tx) != nil {
		return false
	}
	return slices.ContainsFunc(tx.Puts, func(r Row) bool {
		return strings.HasPrefix(r.Key, "usage-") && bytes.Contains(r.Value, []byte(`"settled":true`))
	})
}

// AwaitSettled waits until the first node has stored a window that it will report.
func (f *DutyFleet) AwaitSettled() {
	select {
	case <-f.settled[0]: // One of before.
	default:
	}
	<-f.settled[0]
}

// JudgeOne looks for calls with a lower token than one before for the same duty and subject, unless they came just after the
// link of the first node had healed. It returns what the script exits with.
func (f *DutyFleet) JudgeOne(healed time.Time) int {
	highest, orders, bad, calls := map[string]DutyCall{}, 0, 0, f.API.Calls()
	for _, c := range calls {
		key := c.Path + " " + c.Subject
		if c.Path == "/scale" {
			orders++
		}
		excused := c.Holder == f.Nodes[0].Name && c.At.After(healed) && c.At.Sub(healed) <= ThawSlack
		if before := highest[key]; c.Token < before.Token && !excused {
			bad++
			f.Logf("BROKEN: %s came from %s with token %d, %v after one from %s with token %d, and %v after the cut had healed", key, c.Holder, c.Token,
				c.At.Sub(before.At).Round(time.Millisecond), before.Holder, before.Token, c.At.Sub(healed).Round(time.Millisecond))
		}
		if c.Token > highest[key].Token {
			highest[key] = c
		}
	}
	f.Logf("%d calls, %d orders, %d with a lower token than one before", len(calls), orders, bad)
	switch {
	case bad > 0:
		fmt.Println("ONE is broken")
		return 1
	case len(calls) < 5:
		fmt.Printf("could not run: %d calls\n", len(calls))
		return 2
	}
	fmt.Println("the rule held")
	return 0
}

// DutyConfig returns a version of the operator's configuration with at least so many engines.
func DutyConfig(version, least int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r1", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 1200, "priority": 1,
			"service": "croft-pool", "max_attempts": 1, "sticky": true,
		}},
		"services": []any{map[string]any{
			"name": "croft-pool", "health_path": "/health", "max_connections": 360,
			"engine":  map[string]any{"slots": 64, "kv_capacity": 289584, "kv_bytes": 18432, "link_mbps": 550000, "stride": 6, "most": 12, "models": []any{map[string]any{"name": "m"}}},
			"scaling": map[string]any{"min_replicas": least, "max_replicas": 12, "boot_time_s": 4.0, "zone_prices": map[string]float64{Zone: 0.85}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}
