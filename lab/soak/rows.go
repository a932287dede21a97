package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

type (
	// row is a row to write; a nil value deletes it.
	row struct {
		table, key string
		value      any
	}

	// raw is a value that is written without encoding.
	raw []byte
)

// write writes a row, retrying until the store acknowledges it or the retries run out.
func (env *Environment) write(r row) error {
	env.writeMu.Lock()
	defer env.writeMu.Unlock()
	return env.writeLocked(r)
}

// writeLocked implements write. The caller holds writeMu.
func (env *Environment) writeLocked(r row) error {
	name := map[string]any{"table": r.table, "part": "", "tls_key": r.key}
	tx := map[string]any{"expected_revision": []any{}, "puts": []any{}, "remove": []any{}}
	switch value := r.value.(type) {
	case nil:
		tx["remove"] = []any{name}
	case raw:
		name["value"] = []byte(value)
		tx["puts"] = []any{name}
	default:
		text, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("encode row: %w", err)
		}
		name["value"] = text
		tx["puts"] = []any{name}
	}
	if err := env.post("/-/rows-tx", tx); err != nil {
		return err
	}
	env.written[[2]string{r.table, r.key}] = writtenRow{row: r, at: time.Now()} // Not when it was first tried: the store may have been down.
	return nil
}

// post posts a document to the store, retrying until it is accepted or the retries run out.
func (env *Environment) post(path string, doc any) error {
	text, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	for tries := 0; ; tries++ {
		resp, err := env.client.Post("http://"+env.storeAddress+path, "application/json", bytes.NewReader(text))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if tries > 200 {
			return fmt.Errorf("store did not accept %s: %v", path, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// putConfig writes the next version of the configuration.
func (env *Environment) putConfig() error {
	env.mu.Lock()
	env.version++
	teams := map[string][]string{}
	for _, k := range env.keys {
		teams[k.team] = append(teams[k.team], k.text)
	}
	version := env.version
	env.mu.Unlock()
	tenants, list := []any{}, []any{}
	for team, keys := range teams {
		tenants = append(tenants, map[string]any{"name": team, "api_keys": keys, "priority": 1})
	}
	for i, name := range slices.Concat(routes, routes) {
		to, suffix, timeout := host, "", env.opts.timeoutMs()
		if i >= len(routes) {
			to, suffix, timeout = longHost, "-long", int(endlessTimeout.Milliseconds())
		}
		service, kind, attempts := "llm", "streaming", 1
		switch name {
		case routeSafe:
			service, kind, attempts = deskPool, "safe", 2
		case routeUnsafe:
			service, kind = deskPool, "unsafe"
		case routeResumable:
			attempts = 2
		}
		list = append(list, map[string]any{
			"name": name + suffix, "host": to, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": 300, "priority": i % len(routes) % 3,
			"service": service, "max_attempts": attempts, "public": false, "resumable": name == routeResumable, "gap_aim_ms": 250,
		})
	}
	return env.write(row{"op", "config", map[string]any{
		"version": version, "routes": list, "tenants": tenants, "limits": map[string]any{"max_body_bytes": env.opts.maxBody()},
		"services": []any{map[string]any{"name": deskPool, "max_connections": 200}, map[string]any{"name": "llm", "max_connections": 200, "engine": map[string]any{"slots": 8, "stride": 6, "moves": true, "kv_bytes": 1000, "link_mbps": 10000, "most": 4}}},
	}})
}

// putEngine writes the entry of an engine.
func (env *Environment) putEngine(e *engine, state string) error {
	env.mu.Lock()
	address := env.relays[e.id].Address()
	env.mu.Unlock()
	return env.write(row{"servers", e.id, e.entry(address, state)})
}

// entry returns the entry of an engine that is reached at an address.
func (e *engine) entry(address, state string) map[string]any {
	return map[string]any{"service": e.pool, "address": address, "zone": e.hall, "version": e.version, "slots": e.slots.Load(), "state": state, "cold_remaining_ms": 0, "sequence": time.Now().UnixMicro(), "born": e.startedAt.Load()}
}
