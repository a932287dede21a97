//go:build review

package fleet2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request as it came to an engine.
type Request struct {
	At     time.Time
	Engine string
	Line   string // Line is the request line as it was sent.
	Target string
	Method string
	Header http.Header
	Body   []byte
	Conn   net.Conn
}

// Engine is a stand-in of an engine or backend server.
type Engine struct {
	ID, Service, Address, Hall string
	Slots                      int

	// Handle answers a request; nil for a plain answer at once. It reports whether the connection stays open.
	Handle func(e *Engine, r *Request) (keep bool)

	w        *World
	listener net.Listener
	sequence atomic.Int64
	mu       sync.Mutex
	state    string
	silent   bool
	requests []*Request
	conns    map[net.Conn]bool
}

// AddEngine starts an engine and keeps its entry in the store.
func (w *World) AddEngine(id, service, hall, ip string, slots int, handle func(e *Engine, r *Request) bool) (*Engine, error) {
	l, err := listen(ip + ":0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Service: service, Hall: hall, Address: l.Addr().String(), Slots: slots, Handle: handle, w: w, listener: l, state: "ready", conns: map[net.Conn]bool{}}
	if err := e.Beat(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	w.OnEnd(func() { close(stop); l.Close(); e.closeConns() })
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				e.mu.Lock()
				silent := e.silent
				e.mu.Unlock()
				if !silent {
					_ = e.Beat()
				}
			}
		}
	}()
	go e.accept()
	return e, nil
}

// Beat writes the engine's entry.
func (e *Engine) Beat() error {
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	return e.w.Put("servers", e.ID, map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Hall, "version": "v1", "slots": e.Slots, "state": state, "cold_remaining_ms": 0, "sequence": e.sequence.Add(1),
	})
}

// Drain makes the engine say that it is draining.
func (e *Engine) Drain() error {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	return e.Beat()
}

// accept takes connections.
func (e *Engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// closeConns closes all connections.
func (e *Engine) closeConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// serve serves one connection.
func (e *Engine) serve(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := readRequest(in)
		if err != nil {
			return
		}
		r.At, r.Engine, r.Conn = time.Now(), e.ID, c
		if r.Target == "/-/report" || r.Target == "/health" || strings.HasPrefix(r.Target, "/-/kv") {
			e.system(c, r)
			continue
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != e.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"), e.ID)
			continue
		}
		e.mu.Lock()
		e.requests = append(e.requests, r)
		e.mu.Unlock()
		e.w.Logf("engine %s runs %q, id %s, tenant %q", e.ID, r.Line, r.Header.Get("Attempt-Id"), r.Header.Get("Tenant"))
		if e.Handle == nil {
			e.Answer(r, "done")
			continue
		}
		if !e.Handle(e, r) {
			return
		}
	}
}

// system answers what the system asks of an engine.
func (e *Engine) system(c net.Conn, r *Request) {
	switch r.Target {
	case "/health":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.ID)
	case "/-/report":
		body := `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	default:
		fmt.Fprintf(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
}

// Seal is the head of a success.
func Seal(e *Engine, r *Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s-%s\r\nServer-Load: 1,0,%d\r\n", r.Header.Get("Attempt-Id"), e.ID, r.Header.Get("Attempt-Id"), e.Slots)
}

// Answer answers a request with a body.
func (e *Engine) Answer(r *Request, body string) {
	fmt.Fprintf(r.Conn, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", Seal(e, r), len(body), body)
}

// Requests returns what the engine ran so far.
func (e *Engine) Requests() []*Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Request(nil), e.requests...)
}

// readRequest reads one request, keeping its first line as it is.
func readRequest(in *bufio.Reader) (*Request, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimRight(line, "\r\n")
	fields := strings.SplitN(line, " ", 3)
	if len(fields) != 3 {
		return nil, fmt.Errorf("request line %q", line)
	}
	r := &Request{Line: line, Method: fields[0], Target: fields[1], Header: http.Header{}}
	for {
		h, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		h = strings.TrimRight(h, "\r\n")
		if h == "" {
			break
		}
		name, value, _ := strings.Cut(h, ":")
		r.Header.Add(name, strings.TrimSpace(value))
	}
	n := 0
	fmt.Sscan(r.Header.Get("Content-Length"), &n)
	r.Body = make([]byte, n)
	if _, err := io.ReadFull(in, r.Body); err != nil {
		return nil, err
	}
	return r, nil
}
