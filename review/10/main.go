//go:build review

// Command case10 makes a route public by a new configuration while clients go on sending their keys, and looks which tenant the
// engines get.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/croftturn/croftturn/review/fleet2"
)

const host = "ficu95.example"

// keys are the keys of two tenants.
var keys = map[string]string{"hule930": "n2ctnfzs989anu6wsjnb", "fida11": "anfqasnmgkcuyj8pjbvk"}

func main() { os.Exit(run()) }

func fail(err error) int {
	fmt.Println("could not run:", err)
	return 2
}

func run() int {
	public := os.Getenv("TROUBLE") != "0"
	w, err := fleet2.New(os.Args[2], os.Args[1])
	if err != nil {
		return fail(err)
	}
	defer w.End()
	var engines []*fleet2.Engine
	for i := range 3 {
		e, err := w.AddEngine(fmt.Sprintf("i-%d", i), "station-desk", "zgz-a", "127.0.0.1", 6, nil)
		if err != nil {
			return fail(err)
		}
		engines = append(engines, e)
	}
	if err := w.Put("op", "config", configuration(3, false)); err != nil {
		return fail(err)
	}
	n, err := w.AddNode(0, "zgz-a", nil)
	if err != nil {
		return fail(err)
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(time.Second)
	holders := map[string]string{} // holders is the tenant that holds the key of each request.
	ask := func(round string) error {
		for tenant, key := range keys {
			for i := range 5 {
				id := fmt.Sprintf("%s-%s-%d", round, tenant, i)
				holders[id] = tenant
				status, err := send(n.Caller, id, key)
				if err != nil {
					return err
				}
				w.Logf("client of %s sent %s with its key and got %s", tenant, id, status)
			}
		}
		return nil
	}
	if err := ask("before"); err != nil {
		return fail(err)
	}
	if err := w.Put("op", "config", configuration(7, public)); err != nil {
		return fail(err)
	}
	w.Logf("the operator's store acknowledges version 7: public is %v", public)
	time.Sleep(3 * time.Second) // config_deadline_ms is 2,000.
	if err := ask("after"); err != nil {
		return fail(err)
	}
	ran, bad := 0, 0
	for _, e := range engines {
		for _, r := range e.Requests() {
			id := r.Header.Get("Attempt-Id")
			want, ok := holders[id]
			if !ok {
				continue
			}
			ran++
			if got := r.Header.Values("Tenant"); len(got) != 1 || got[0] != want {
				bad++
				w.Logf("BROKEN: %s ran with the tenants %q, its key is held by %s", id, got, want)
			}
		}
	}
	w.Logf("%d requests sent, %d run, %d of them with another tenant than that of their key", len(holders), ran, bad)
	switch {
	case bad > 0:
		fmt.Println("UNASKED is broken")
		return 1
	case ran < len(holders):
		return fail(fmt.Errorf("only %d of %d ran", ran, len(holders)))
	}
	fmt.Println("the rule held")
	return 0
}

// send sends one request on a connection of its own and returns the status.
func send(address, id, key string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(c, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer %s\r\nContent-Length: 6\r\n\r\nlookup", host, id, key); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Status, err
}

// configuration returns a version in which the route is public or not.
func configuration(version int, public bool) map[string]any {
	var tenants []any
	for name, key := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}, "priority": 1})
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "r1", "host": host, "path_prefix": "/puxa403/", "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 150, "priority": 1, "service": "station-desk", "max_attempts": 1, "public": public}},
		"services": []any{map[string]any{"name": "station-desk", "health_path": "/health", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}
