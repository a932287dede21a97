//go:build review

// Command revoked takes the last tenant's key away, and checks that no request runs that is sent later than revoke_ms
// after the acknowledgement.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/croftturn/croftturn/review/kit"
)

const (
	engineCount = 3
	nodeCount   = 3
	revoke      = 5 * time.Second
	slack       = 500 * time.Millisecond
	rate        = 20
	heldKey     = "key-of-the-only-tenant"
	neverHeld   = "key-that-no-configuration-held"
)

var halls = []string{"hall-a", "hall-b", "hall-c"}

// configuration returns a configuration with tenants.
func configuration(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-confirm", "host": "desk.example", "path_prefix": "/confirm/", "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 0,
			"service": "desk", "max_attempts": 1, "public": false, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

func run(r *kit.Record, dir string, trouble bool) int {
	store, err := kit.NewStore()
	if err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	tenants := []any{map[string]any{"name": "only-tenant", "api_keys": []string{heldKey}}}
	store.Put("op", "config", configuration(1, tenants))
	var mu sync.Mutex
	ran := map[string]string{} // attempt -> tenant named to the engine
	for i := range engineCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.Logf("%v", err)
			return kit.NotRun
		}
		id := fmt.Sprintf("i-%d", i)
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			attempt := req.Header.Get("Attempt-Id")
			if attempt == "" {
				w.Header().Set("Instance-Id", id)
				return
			}
			if req.Header.Get("Expect-Instance") != id {
				w.Header().Set("Instance-Id", id)
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			mu.Lock()
			ran[attempt] = req.Header.Get("Tenant")
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			w.Header().Set("Attempt-Id", attempt)
			w.Header().Set("Response-Seal", "seal-"+attempt)
			io.WriteString(w, "receipt of "+attempt)
		}))
		store.Put("servers", id, map[string]any{"service": "desk", "address": l.Addr().String(), "zone": halls[i%3], "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1})
	}
	var nodes []*kit.Node
	for i := range nodeCount {
		n := kit.NewNode(i, kit.NodeOptions{Dir: dir, Store: store.Address, Halls: halls})
		nodes = append(nodes, n)
		if err := n.Start(true); err != nil {
			r.Logf("%v", err)
			return kit.NotRun
		}
	}
	defer func() {
		for _, n := range nodes {
			n.Kill()
		}
	}()
	if err := kit.AwaitReady(20*time.Second, nodes...); err != nil {
		r.Logf("%v", err)
		return kit.NotRun
	}
	time.Sleep(4 * time.Second)
	clients := kit.NewClients("desk.example", nodes)
	var revokedAt time.Time
	broken, neverRan, before, after := 0, 0, 0, 0
	begin := time.Now()
	for n := 0; time.Since(begin) < 20*time.Second; n++ {
		if trouble && revokedAt.IsZero() && time.Since(begin) > 5*time.Second {
			version, at := store.Put("op", "config", configuration(2, []any{}))
			revokedAt = at
			r.Logf("revoke: configuration 2 without the only tenant is acknowledged, store version %d", version)
		}
		key := heldKey
		if n%4 == 3 {
			key = neverHeld
		}
		id := kit.NewID()
		a := clients.Send(clients.Entry(), http.MethodPost, "/confirm/1", id, 600*time.Millisecond, map[string]string{"Authorization": "Bearer " + key}, []byte("bid "+id))
		mu.Lock()
		tenant, hasRun := ran[id]
		mu.Unlock()
		late := !revokedAt.IsZero() && a.Sent.Sub(revokedAt) > revoke+slack
		verdict := ""
		switch {
		case hasRun && key == neverHeld:
			neverRan++
			verdict = "BROKEN: no configuration ever held the key"
		case hasRun && late:
			broken++
			verdict = "BROKEN: sent later than revoke_ms after the acknowledgement"
		case hasRun && !late:
			before++
		case late:
			after++
		}
		r.LogAt(a.Sent, "sent %s to %s with %s: status %d, run %v, Tenant %q %s", id, a.Address, key, a.Status, hasRun, tenant, verdict)
		time.Sleep(time.Second / rate)
	}
	r.Logf("%d ran rightly; later than revoke_ms after the acknowledgement %d ran and %d did not; %d ran with a key that was never held", before, broken, after, neverRan)
	for _, n := range nodes {
		if n.Exited() {
			r.Logf("%s has ended by itself", n.Name)
			return kit.NotRun
		}
	}
	switch {
	case broken > 0 || neverRan > 0:
		return kit.Broken
	case before < 50:
		return kit.NotRun
	}
	return kit.Held
}

func main() { kit.Main(run) }
