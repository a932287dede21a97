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

// Modes in which an engine handles a request.
const (
	modeHealthy        = iota
	modeError          // modeError responds with status 500.
	modeFull           // modeFull rejects the request as not executed.
	modeDropConnection // modeDropConnection runs the request and closes its connection.
	modeNoResponse     // modeNoResponse runs the request and never responds.
	modeTruncateStream // modeTruncateStream cuts a stream off inside its second event.
	modeCutAnywhere    // modeCutAnywhere ends the connection after any byte of the answer, its head included.
	modeCount          // modeCount is the number of modes so far, which faults draw.
	modeEndless        // modeEndless sends heads or bodies without end, of all kinds in turn.
	modeOdd            // modeOdd answers before the request was read, with a head that is none or a part of a body.
)

// usualSlots is how many slots the entries of engines name.
const usualSlots = 8

// beginEarly in the path of a request makes the engine send most of a plain answer before it runs the request.
const beginEarly = "early"

// eventInterval is the time between two events of a stream.
const eventInterval = 20 * time.Millisecond

// engine is a fake engine that records in the ledger which requests it runs.
type engine struct {
	id, pool      string
	version       string // version is that of its software.
	hall          string
	ledger        *Ledger
	server        *http.Server
	listener      net.Listener
	oddMode       atomic.Int64 // oddMode is the mode of every other request, starting with the first.
	evenMode      atomic.Int64 // evenMode is the mode of the remaining requests.
	received      atomic.Int64
	endlessBodies atomic.Bool // endlessBodies is set if bodies without end are sent in modeEndless, not heads.
	cacheCalls    atomic.Int64
	interactive   bool                                       // interactive is set if the nodes treat the pools as interactive.
	signals       atomic.Pointer[engineSignals]              // signals is what the engine reports in response headers; nil for nothing.
	brittle       atomic.Pointer[brittleness]                // brittle is nil while the engine is sound.
	slots         atomic.Int64                               // slots is that of its entry.
	entryMu       sync.Mutex                                 // entryMu is held while its entry is written with other slots.
	replaced      bool                                       // replaced is set once another engine has its place, so that its entry must not say ready again.
	startedAt     atomic.Int64                               // startedAt is the last start, in Unix milliseconds.
	slower        atomic.Int64                               // slower is by how much longer it runs each request that says how long, in nanoseconds.
	crash         func(e *engine, record func(at time.Time)) // crash stops the engine while it runs a request, and restarts it later.
	lifecycleMu   sync.Mutex                                 // lifecycleMu is held while the engine restarts or must not restart, and is never released after its final stop.
	wg            sync.WaitGroup
}

// newEngine starts an engine.
func newEngine(id, pool, version, hall string, interactive bool, l *Ledger, crash func(e *engine, record func(at time.Time))) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start engine: %w", err)
	}
	e := &engine{id: id, pool: pool, version: version, hall: hall, interactive: interactive, ledger: l, crash: crash}
	e.slots.Store(usualSlots)
	e.serve(listener)
	return e, nil
}

// serve starts an incarnation of the engine on a listener.
func (e *engine) serve(listener net.Listener) {
	e.listener, e.server = listener, &http.Server{Handler: e, ConnContext: withCut}
	e.startedAt.Store(time.Now().UnixMilli())
	server := e.server
	e.wg.Go(func() {
		// Returns when the server is closed; callers notice any other error.
		_ = server.Serve(cutListener{listener})
	})
}

// restart stops the engine, and starts it again at its address after a delay.
func (e *engine) restart(ctx context.Context, after time.Duration) error {
	address := e.listener.Addr().String()
	e.close()
	pause.For(ctx, after)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("restart engine: %w", err)
	}
	e.serve(listener)
	return nil
}

// shutDown stops the engine permanently.
func (e *engine) shutDown() {
	e.lifecycleMu.Lock()
	e.close()
}

// close closes the server and its connections.
func (e *engine) close() {
	e.server.Close()
	e.wg.Wait()
}

// ServeHTTP rejects a request or runs it in the next mode.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == cacheEventsPath {
		e.serveCacheEvents(w, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	e.checkTransfer(r, id)
	e.writeSlowdown(w)
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	mode := e.nextMode()
	if mode == modeOdd {
		e.answerOddly(w, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // An incomplete request is not run.
	}
	if e.writeSignals(w, id) {
		return
	}
	leave, rejected := e.rejectBrittle(w)
	if rejected {
		return
	}
	defer leave()
	if mode == modeFull {
		e.ledger.recordTime(e.ledger.broken, id, time.Now())
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if bytes.HasPrefix(body, []byte(crashingBody)) {
		go e.crash(e, func(at time.Time) { e.ledger.recordCrash(string(body), at) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if part := partOf(r); part != "" {
		e.crashOnPart(w, r, id, part)
		return
	}
	e.run(w, r, id, mode)
}

// nextMode returns the mode of the next request.
func (e *engine) nextMode() int {
	if e.received.Add(1)%2 == 0 {
		return int(e.evenMode.Load())
	}
	return int(e.oddMode.Load())
}

// run records the start of a request and handles it according to the mode.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string, mode int) {
	e.ledger.recordRun(id, run{engine: e.id, hall: e.hall, team: r.Header.Get("Tenant"), at: time.Now()})
	w.Header().Set("Response-Seal", "seal-"+id)
	if mode == modeError || mode == modeDropConnection {
		e.ledger.recordTime(e.ledger.broken, id, time.Now())
	}
	switch mode {
	case modeError:
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "failed")
	case modeEndless:
		e.writeEndless(w, id)
	case modeDropConnection:
		panic(http.ErrAbortHandler)
	case modeNoResponse:
		<-r.Context().Done()
	case modeCutAnywhere:
		cutAnyByte(r, id)
		e.answer(w, r, id, mode)
	default:
		e.answer(w, r, id, mode)
	}
}

// answer writes the whole response; a stream resumes after Last-Event-Id.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, id string, mode int) {
	route := strings.Split(r.URL.Path, "/")[1]
	if !isStream(route) {
		early := strings.HasSuffix(r.URL.Path, "/"+beginEarly+"/x")
		if !early {
			pause.For(r.Context(), e.workOf(r))
		}
		body := expectedBody(route, id) + strings.Repeat(".", sizeOf(r))
		frameOf(id).set(w, r, len(body))
		if early {
			most := len(body) * 3 / 4
			fmt.Fprint(w, body[:most])
			w.(http.Flusher).Flush()
			pause.For(r.Context(), e.workOf(r))
			body = body[most:]
		}
		fmt.Fprint(w, body)
		if frameOf(id) == frameChunked {
			w.(http.Flusher).Flush() // A short answer has a length otherwise.
		}
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	stream, versionLine := streamID(r), "v: "+e.version+"\n"
	if size := sizeOf(r); size > 0 {
		versionLine = ":" + strings.Repeat(".", size/events(stream)) + "\n" + versionLine
	}
	length := 0
	for n := after + 1; n <= events(stream); n++ {
		length += len(versionLine) + len(event(stream, n))
	}
	f := frameOf(id)
	f.set(w, r, length)
	for n := after + 1; n <= events(stream); n++ {
		text := versionLine + event(stream, n)
		if mode == modeTruncateStream && n > after+1 {
			fmt.Fprint(w, text[:len(text)/2])
			e.ledger.recordTime(e.ledger.broken, id, time.Now())
			f.cut()
			return
		}
		fmt.Fprint(w, text)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(max(eventInterval, e.workOf(r)/time.Duration(events(stream)))):
		}
	}
}

// workOf returns how long a request runs, by its path; 0 if it does not say.
func (e *engine) workOf(r *http.Request) time.Duration {
	parts := strings.Split(r.URL.Path, "/")
	ms, err := strconv.Atoi(parts[2])
	if err != nil {
		return 0
	}
	return time.Duration(ms)*time.Millisecond + time.Duration(e.slower.Load())
}

// sizeOf returns how many bytes are added to the answer to a request, by its path; 0 if it does not say.
func sizeOf(r *http.Request) int {
	parts := strings.Split(r.URL.Path, "/")
	if len(parts) < 5 {
		return 0
	}
	size, _ := strconv.Atoi(parts[3]) // 0 if it is no number.
	return size
}

// events returns the number of events in the stream of a request.
func events(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return 2 + int(h.Sum32()%8)
}

// event returns event n of the stream of a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// expectedBody returns the complete response body of a request.
func expectedBody(route, id string) string {
	if !isStream(route) {
		return "answer to " + id
	}
	var b strings.Builder
	for n := 1; n <= events(id); n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}
