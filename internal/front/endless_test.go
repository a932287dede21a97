package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/testendless"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// endlessCallers call an engine whose answers have no end at the same time.
	endlessCallers = 8

	// endlessTime bounds a call whose answer has no end, with several engines one after another.
	endlessTime = time.Minute

	// engineTime is how long an engine sends that nobody stops.
	engineTime = 20 * time.Second

	// writeInterval is the time between two writes of 64 KB of an engine.
	writeInterval = 3 * time.Millisecond

	// readTime is how long a caller reads a stream that goes on for as long.
	readTime = 3 * time.Second

	// heldBound is what answers may hold together; a buffer that grows is there twice.
	heldBound = 3 * front.MaxHeldBytes
)

// writesEndless returns a handler that writes a piece until its caller is gone, or long after any should be.
func writesEndless(contentType, piece string) http.HandlerFunc {
	pieces := strings.Repeat(piece, 1+(64<<10)/len(piece))
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		for tick, end := time.Tick(writeInterval), time.Now().Add(engineTime); time.Now().Before(end); <-tick { // A faster engine makes more garbage than the collector finds in time.
			testendless.AwaitTurn()
			if _, err := io.WriteString(w, pieces); err != nil {
				return
			}
		}
	}
}

// drain sends a call, reads its answer for some time and reports whether it ended, in an error or with a failure.
func (r *testServer) drain(t *testing.T, within time.Duration, path, body string, headers ...string) (ended bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return false
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("the call of %s got a whole answer", path)
	}
	return ctx.Err() == nil
}

// TestAnswersWithoutEndAreNotKept guards against a process that runs out of memory, since it keeps what engines send without end.
func TestAnswersWithoutEndAreNotKept(t *testing.T) {
	words := writesEndless("text/event-stream", event(strings.Repeat("word ", 1<<10)))
	for name, c := range map[string]struct {
		engine http.HandlerFunc
		call   func(t *testing.T, r *testServer)
	}{
		"text of an answer": {words, func(t *testing.T, r *testServer) {
			if !r.drain(t, endlessTime, "/v1/chat/completions", strings.Replace(hello, "true", "false", 1)) {
				t.Error("the call did not end")
			}
		}},
		"text of a stream": {words, func(t *testing.T, r *testServer) { r.drain(t, readTime, "/v1/chat/completions", hello) }},
		"answer to another node": {writesEndless("text/plain", "x"), func(t *testing.T, r *testServer) {
			o, err := r.front.HandleRun(t.Context(), &wire.RunRequest{Ticket: r.ticket(t), Token: "Bearer " + token, Method: http.MethodPost, Path: "/services/bids/offers", Body: []byte("x")})
			if err != nil || o.(*wire.Outcome).State != wire.OutcomeStateUnknown {
				t.Errorf("the call ended with %v, %v", o, err)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, c.engine, c.engine)
			held := testendless.Held(func() {
				var calls sync.WaitGroup
				for range endlessCallers {
					calls.Go(func() { c.call(t, r) })
				}
				calls.Wait()
			})
			if held > heldBound {
				t.Errorf("%d bytes were held, want at most %d", held, heldBound)
			}
		})
	}
}

// TestAnswerWithoutEndIsNotReadForNobody guards against an engine's slot that is taken without end, since the answer to a key is
// read on after its caller has left.
func TestAnswerWithoutEndIsNotReadForNobody(t *testing.T) {
	ended, sends := make(chan struct{}, 1), writesEndless("text/plain", "x")
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		sends(w, req)
		ended <- struct{}{}
	})
	r.drain(t, time.Second/2, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
	select {
	case <-ended:
	case <-time.After(engineTime / 2):
		t.Fatal("the engine still sends its answer")
	}
	resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
	if resp.Header.Get(front.HeaderOutcome) != front.OutcomeUnknown {
		t.Errorf("the key's outcome is %v %s", resp.Header, body)
	}
}

// TestBodyThatNamesAHugeLengthIsRefused guards against a length that is allocated before it has come.
func TestBodyThatNamesAHugeLengthIsRefused(t *testing.T) {
	r := newTestServer(t, func(http.ResponseWriter, *http.Request) { t.Error("the call was sent") })
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go io.WriteString(conn, "POST /services/bids/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+token+"\r\nContent-Length: 1000000000000\r\n\r\n"+strings.Repeat("x", 128<<10))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %v, %v", resp, err)
	}
}
