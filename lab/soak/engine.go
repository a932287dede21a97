package soak

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// Modes of an engine.
const (
	modeWell       = iota
	modeFails      // modeFails answers with 500.
	modeFull       // modeFull turns a request away.
	modeLoses      // modeLoses runs a request and closes its connection.
	modeMute       // modeMute never answers.
	modeBreaksOff  // modeBreaksOff ends a stream after its first event.
	modesOfEngines // modesOfEngines is how many there are.
)

// eventPause is the time between two events of a stream.
const eventPause = 20 * time.Millisecond

// engine is a stand-in engine that keeps in the ledger what it runs.
type engine struct {
	id, pool string
	hall     string
	ledger   *Ledger
	server   *http.Server
	listener net.Listener
	odd      atomic.Int64 // odd is the mode for every second request.
	even     atomic.Int64 // even is the mode for the others.
	count    atomic.Int64
	says     atomic.Pointer[saying]       // says is what it says of itself; nil for nothing.
	born     atomic.Int64                 // born is when it started, in Unix milliseconds.
	crash    func(e *engine, body string) // crash ends the engine under a request, and starts it again later.
	ending   sync.Mutex                   // ending is held while the engine ends and starts again, and from its last end on.
	wg       sync.WaitGroup
}

// newEngine starts an engine.
func newEngine(id, pool, hall string, l *Ledger, crash func(e *engine, body string)) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start engine: %w", err)
	}
	e := &engine{id: id, pool: pool, hall: hall, ledger: l, crash: crash}
	e.serve(listener)
	return e, nil
}

// serve begins an incarnation of the engine on a listener.
func (e *engine) serve(listener net.Listener) {
	e.listener, e.server = listener, &http.Server{Handler: e}
	e.born.Store(time.Now().UnixMilli())
	server := e.server
	e.wg.Go(func() {
		// It ends with Close; whatever else ends it is seen by its callers.
		_ = server.Serve(listener)
	})
}

// restart ends the engine, and starts it again at its address after a while.
func (e *engine) restart(ctx context.Context, after time.Duration) error {
	address := e.listener.Addr().String()
	e.close()
	pause.For(ctx, after)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start engine again: %w", err)
	}
	e.serve(listener)
	return nil
}

// end ends the engine for good.
func (e *engine) end() {
	e.ending.Lock()
	e.close()
}

// close ends the engine and its connections.
func (e *engine) close() {
	e.server.Close()
	e.wg.Wait()
}

// ServeHTTP takes one request, and runs it as the mode says.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request did not come whole, and is not run.
	}
	if e.say(w, id) {
		return
	}
	mode := e.nextMode()
	if mode == modeFull {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if bytes.HasPrefix(body, []byte(crashingBody)) {
		go e.crash(e, string(body))
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.run(w, r, id, mode)
}

// nextMode returns the mode for one more request.
func (e *engine) nextMode() int {
	if e.count.Add(1)%2 == 0 {
		return int(e.even.Load())
	}
	return int(e.odd.Load())
}

// run records that a request runs and answers it, or fails to.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string, mode int) {
	e.ledger.ran(id, run{engine: e.id, hall: e.hall, team: r.Header.Get("Tenant"), at: time.Now()})
	w.Header().Set("Response-Seal", "seal-"+id)
	switch mode {
	case modeFails:
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "failed")
	case modeLoses:
		panic(http.ErrAbortHandler)
	case modeMute:
		<-r.Context().Done()
	default:
		e.answer(w, r, id, mode)
	}
}

// answer gives the whole answer, or a stream's from where it goes on.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, id string, mode int) {
	route := strings.Split(r.URL.Path, "/")[1]
	if route != routeStream && route != routeResumable {
		fmt.Fprint(w, wholeAnswer(route, id))
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= events(id); n++ {
		fmt.Fprint(w, event(id, n))
		w.(http.Flusher).Flush()
		if mode == modeBreaksOff {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// events returns how many events the stream of a request has.
func events(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return 2 + int(h.Sum32()%8)
}

// event returns one event of a request's stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// wholeAnswer returns the whole body that a request must get.
func wholeAnswer(route, id string) string {
	if route != routeStream && route != routeResumable {
		return "answer to " + id
	}
	var b strings.Builder
	for n := 1; n <= events(id); n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}
