package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/front"
)

// TestCallsAtTheEndOfANodeAreAnswered guards against connections that only close under the calls in progress, and
// against answers that don't tell those that may have run from those that have not.
func TestCallsAtTheEndOfANodeAreAnswered(t *testing.T) {
	for _, test := range []struct {
		path, body, kind string
		waits            bool // waits is set if the call has no slot yet.
		status           int
		outcome          string
	}{
		{"/v1/chat/completions", hello, "false", false, http.StatusBadGateway, front.OutcomeUnknown},
		{"/v1/chat/completions", hello, "false", true, http.StatusServiceUnavailable, front.OutcomeNotRun},
		{"/services/bids/x", "{}", "true", false, http.StatusBadGateway, front.OutcomeUnknown},
		{"/services/bids/x", "{}", "true", true, http.StatusServiceUnavailable, front.OutcomeNotRun},
	} {
		begun := make(chan struct{}, 1)
		r := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				begun <- struct{}{}
				<-r.Context().Done()
			}
		})
		if test.waits {
			r.sched.full.Store(true)
			r.sched.waiting = func() { begun <- struct{}{} }
		}
		go func() {
			<-begun
			time.Sleep(20 * time.Millisecond) // What waits has begun to.
			r.front.CutOff()
		}()
		resp, body := r.send(t, test.path, test.body, front.HeaderNotRepeatable, test.kind)
		if resp.StatusCode != test.status || resp.Header.Get(front.HeaderOutcome) != test.outcome {
			t.Errorf("%s, waiting %v: got status %d, outcome %q, %s", test.path, test.waits, resp.StatusCode, resp.Header.Get(front.HeaderOutcome), body)
		}
	}
}

// TestStoppingNodeTriesNoCallAgainThatItMayCut guards against calls that are sent to another engine with less than their time left,
// and against answers that have begun and are given up though another engine could go on.
func TestStoppingNodeTriesNoCallAgainThatItMayCut(t *testing.T) {
	for begun, want := range map[string]int{"": http.StatusServiceUnavailable, "well": http.StatusOK} {
		var r *testServer
		tries := 0
		r = newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
			r.front.NoteStop(time.Now(), front.Stop{Begin: time.Now(), End: time.Now().Add(time.Second), Run: 2 * time.Second})
			if begun != "" {
				fmt.Fprint(w, event(begun))
			}
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, func(w http.ResponseWriter, req *http.Request) {
			tries++
			streams("done")(w, req)
		})
		resp, body := r.send(t, "/v1/chat/completions", hello)
		if resp.StatusCode != want || want == http.StatusOK && text(body) != "welldone" || tries != len(begun)/4 || (want != http.StatusOK) != resp.Close {
			t.Errorf("begun %q: got status %d, close %v, %q after %d more tries", begun, resp.StatusCode, resp.Close, body, tries)
		}
	}
}

// TestCallerThatStopsSendingGetsNoEmptySuccess guards against an answer that looks like a whole, empty one for a call
// that was given up because its caller had closed its writing side.
func TestCallerThatStopsSendingGetsNoEmptySuccess(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/services/bids/x"} {
		r := newTestServer(t, streams("well"))
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		r.sched.waiting = func() {
			_ = conn.(*net.TCPConn).CloseWrite() // A test that fails here gets an answer below.
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, token, len(hello), hello)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode < http.StatusMultipleChoices {
				t.Errorf("%s: got status %d with %d bytes", path, resp.StatusCode, resp.ContentLength)
			}
		}
	}
}
