package engine_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/engine"
)

const stall = 5 * time.Second

// start starts a completion on a test server with the given handler.
func start(t *testing.T, h http.HandlerFunc) (*engine.Stream, error) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c := engine.NewClient(stall)
	t.Cleanup(c.Close)
	s, err := c.Start(context.Background(), strings.TrimPrefix(srv.URL, "http://"), http.Header{}, []byte("{}"))
	if err == nil {
		t.Cleanup(s.Close)
	}
	return s, err
}

// TestLastEventIsNotBuffered checks that the empty line after an event does not
// count as another event. When it did, no token was flushed to the caller before
// the stream ended.
func TestLastEventIsNotBuffered(t *testing.T) {
	s, err := start(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	if err != nil {
		t.Fatal(err)
	}
	e, err := s.Next()
	if err != nil || e.Content != "a" {
		t.Fatalf("Next() = %+v, %v", e, err)
	}
	if s.Buffered() {
		t.Error("Buffered() = true with nothing but an empty line left")
	}
}

func TestRefusalsAreTyped(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusTooManyRequests: engine.ErrFull, http.StatusServiceUnavailable: engine.ErrFull,
		http.StatusBadRequest: engine.ErrRejected, http.StatusInternalServerError: engine.ErrBroken,
	} {
		_, err := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		if !errors.Is(err, want) {
			t.Errorf("Start() with status %d: %v, want %v", status, err, want)
		}
	}
}

func TestStreamFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want error
	}{
		"cut":       {"data: {\"choices\":[]}\n\n", engine.ErrBroken},
		"malformed": {"data: {\"choices\": [\n\n", engine.ErrMalformed},
		"no data":   {"hello\n", engine.ErrMalformed},
		"too long":  {"data: " + strings.Repeat("x", 2<<20) + "\n", engine.ErrMalformed},
		"error":     {"data: {\"error\":{\"message\":\"x\"}}\n\n", engine.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := start(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, tc.text) })
			for err == nil {
				_, err = s.Next()
			}
			if !errors.Is(err, tc.want) {
				t.Errorf("error = %v, want %v", err, tc.want)
			}
		})
	}
}

// TestEmptyBodyIsSentOnce checks that the transport does not retry a call by itself
// when the connection breaks, even one without a body.
func TestEmptyBodyIsSentOnce(t *testing.T) {
	calls := make(chan struct{}, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		if len(calls) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	c := engine.NewClient(stall)
	defer c.Close()
	for range 2 { // The second call reuses the connection.
		resp, err := c.Do(context.Background(), http.MethodGet, srv.URL, http.Header{"Idempotency-Key": {"k"}}, nil)
		if err == nil {
			resp.Body.Close()
		}
	}
	if len(calls) != 2 {
		t.Errorf("the server was called %d times, want 2", len(calls))
	}
}

// TestEngineThatEndsWhileItIsLookedAtRefuses guards against a crashed engine that counts as alive because its machine still
// accepted a connection.
func TestEngineThatEndsWhileItIsLookedAtRefuses(t *testing.T) {
	c := engine.NewClient(time.Second)
	defer c.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if c.Refuses(context.Background(), l.Addr().String()) {
		t.Error("an engine that accepts connections refuses them")
	}
	time.AfterFunc(10*time.Millisecond, func() { l.Close() })
	if !c.Refuses(context.Background(), l.Addr().String()) {
		t.Error("an engine that ends 10 ms after a connection was opened does not refuse")
	}
}
