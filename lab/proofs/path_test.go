package proofs

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
)

// TestTraceHasASpanForEachHop sends one traced request through a node that is
// not the broker and finds the spans of caller, queue and engine in one trace.
func TestTraceHasASpanForEachHop(t *testing.T) {
	dir := t.TempDir()
	r := start(t, cluster.Options{Nodes: 2, Engines: 1, Settings: func(i int, s map[string]any) {
		quickLeave(i, s)
		s["trace_file"] = filepath.Join(dir, fmt.Sprint("trace", i))
		s["trace_share"] = 1
	}})
	node := r.Nodes[0]
	if r.brokerOf("llm") == node {
		node = r.Nodes[1]
	}
	req := r.request(tell, 1, 3)
	req.Key = ""
	if s := r.caller.Send(context.Background(), at(req, node, 1)); s.Outcome != "completed" {
		t.Fatalf("%+v", s)
	}
	for _, n := range r.Nodes {
		must(t, n.Stop(20*time.Second))
	}
	traces := map[string]map[string]bool{}
	for i := range r.Nodes {
		f, err := os.Open(filepath.Join(dir, fmt.Sprint("trace", i)))
		must(t, err)
		defer f.Close()
		dec := json.NewDecoder(f)
		for dec.More() {
			var span struct {
				Name        string
				SpanContext struct{ TraceID string }
			}
			must(t, dec.Decode(&span))
			id := span.SpanContext.TraceID
			if traces[id] == nil {
				traces[id] = map[string]bool{}
			}
			traces[id][fmt.Sprint(span.Name, " at ", i)] = true
		}
	}
	for _, spans := range traces {
		names := fmt.Sprint(spans)
		if strings.Contains(names, "caller request") && strings.Contains(names, "acquire") && strings.Contains(names, "broker queue") && strings.Contains(names, "engine e1") {
			return
		}
	}
	t.Errorf("no trace has all hops: %v", traces)
}

// TestRolesOfOperators holds that a bad token gets 401, a good one without the
// role 403, and neither learns anything.
func TestRolesOfOperators(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 1, Engines: 1})
	ask := func(token, text string) (int, string) {
		_, err := r.StatementAs(context.Background(), r.Nodes[0], token, text)
		var status *cluster.StatusError
		if err == nil {
			return http.StatusOK, ""
		}
		if !errors.As(err, &status) {
			t.Fatal(err)
		}
		return status.Status, status.Body
	}
	for _, tc := range []struct {
		token, text string
		status      int
	}{
		{"wrong", "running", 401}, {"wrong", "drain engine e1", 401}, {"", "running", 401}, {"alfa-token", "running", 401},
		{"reader-token", "running", 200}, {"reader-token", "drain engine e1", 403}, {cluster.OperatorToken, "drain engine e1", 200},
		{cluster.OperatorToken, "drain engine nowhere", 404}, {cluster.OperatorToken, "drain nothing", 400},
	} {
		status, body := ask(tc.token, tc.text)
		if status != tc.status {
			t.Errorf("%q as %q: %d %s, want %d", tc.text, tc.token, status, body, tc.status)
		}
		if (status == 401 || status == 403) && strings.Contains(body, "e1") {
			t.Errorf("%q as %q learned %s", tc.text, tc.token, body)
		}
	}
}

// TestPartialAnswersNameWhoIsMissing freezes a node and asks another.
func TestPartialAnswersNameWhoIsMissing(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 3, Engines: 1})
	must(t, r.Nodes[2].Signal(syscall.SIGSTOP))
	got, err := r.Statement(context.Background(), r.Nodes[0], "running", "")
	must(t, err)
	if len(got.Missing) != 1 || got.Missing[0] != "n3" {
		t.Errorf("missing = %v, want n3", got.Missing)
	}
}

// TestExplainAcrossNodes asks one node why a request at another went as it did.
func TestExplainAcrossNodes(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 2, Engines: 1})
	req := r.request(submit, 1, 1)
	req.Arrival.Class = &load.ClassLoad{Class: "explain", Tier: 3, Model: "desk-1"}
	req.Key = ""
	s := r.caller.Send(context.Background(), at(req, r.Nodes[0], 1))
	got, err := r.Statement(context.Background(), r.Nodes[1], "explain "+s.Request, "")
	must(t, err)
	if len(got.Rows) < 2 || got.Rows[0].Node != "n1" || !strings.Contains(fmt.Sprint(got.Rows), "in use") {
		t.Errorf("explain = %+v", got.Rows)
	}
}

// TestBadCallersAreBounded sends a header of a mebibyte, and one byte now and
// then: neither keeps a connection.
func TestBadCallersAreBounded(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 1, Engines: 1, Settings: func(_ int, s map[string]any) { s["read_timeout_ms"] = 500 }})
	req, err := http.NewRequest(http.MethodGet, "http://"+r.Nodes[0].Caller+"/v1/models", nil)
	must(t, err)
	req.Header.Set("X-Big", strings.Repeat("x", 1<<20))
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a header of 1 MiB got %d", resp.StatusCode)
		}
	}
	conn, err := net.Dial("tcp", r.Nodes[0].Caller)
	must(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
	must(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	if _, err := bufio.NewReader(conn).ReadString('}'); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("a caller that sends no more kept its connection")
	}
}

// TestEntryPointsSpread asks as many callers and finds that the first addresses
// are spread over the nodes, and that a node which leaves is not named.
func TestEntryPointsSpread(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 4, Engines: 1})
	first := func() map[string]int {
		out := map[string]int{}
		for i := range 80 {
			caller := load.NewCaller(r.CallerAddresses()[:1])
			list, err := caller.EntryPoints(context.Background(), r.request(tell, i, 1))
			caller.Close()
			must(t, err)
			out[list[0]]++
		}
		return out
	}
	spread := first()
	for _, n := range r.Nodes {
		if got := spread[n.Caller]; got < 5 || got > 45 {
			t.Errorf("%s is first for %d of 80 callers", n.Name, got)
		}
	}
	must(t, r.Nodes[3].Signal(syscall.SIGTERM))
	must(t, r.waitState(r.Nodes[0], "leaving", 1))
	if got := first()[r.Nodes[3].Caller]; got > 0 {
		t.Errorf("a leaving node is first for %d callers", got)
	}
}
