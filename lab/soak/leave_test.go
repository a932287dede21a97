package soak

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestAnswersOfAStoppingNodeSendTheirCallersAway guards against callers that send their next request to a stopping node, since
// the answer to the one that began before the signal did not ask them to leave.
func TestAnswersOfAStoppingNodeSendTheirCallersAway(t *testing.T) {
	const work = 400 * time.Millisecond
	env, n := startTwoNodes(t, endlessRun)
	env.expectExit(n)
	var signalled atomic.Int64 // signalled is when the signal was sent, in Unix nanoseconds.
	var sent, refused, whole atomic.Int64
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			route := routes[i%len(routes)]
			for try := 0; ; try++ {
				req, err := newRequest(t.Context(), n.callerAddress, fmt.Sprintf("%s/%d", route, work.Milliseconds()), fmt.Sprint("leave-", i, "-", try), "key-1", fmt.Sprint("leave-", i, ":100"), "body")
				if err != nil {
					t.Error(err)
					return
				}
				began := time.Now().UnixNano()
				resp, err := client.Do(req)
				if err != nil {
					return // The node has ended.
				}
				begun := time.Now().UnixNano()
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				switch at := signalled.Load(); {
				case err != nil:
					t.Errorf("%s: %v", route, err)
				case at != 0 && began > at:
					sent.Add(1)
					if resp.StatusCode == unavailable {
						refused.Add(1)
					}
				case at != 0 && begun > at+int64(100*time.Millisecond):
					if whole.Add(1); !resp.Close {
						t.Errorf("%s: an answer that began %v after the signal did not ask its caller to leave", route, time.Duration(begun-at))
					}
				}
				if resp.Close {
					return
				}
			}
		})
	}
	time.Sleep(standstill)
	signalled.Store(time.Now().UnixNano())
	if err := n.Stop(stopGrace); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if whole.Load() == 0 {
		t.Error("no request was in progress at the signal")
	}
	t.Logf("the stopping node got %d requests after the signal and refused %d of them", sent.Load(), refused.Load())
}
