package front_test

import (
	"io"
	"net/http"
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
