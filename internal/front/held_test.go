package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// allowedCrashes is how many engines a call or a message may crash.
const allowedCrashes = 5

// crashesOn returns a handler that ends its server, as a crash does, on bodies with a word, and streams an answer to others, for four
// seconds to those with the word slow.
func crashesOn(word string, crashes *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body strings.Builder
		if err := r.Write(&body); err != nil {
			return
		}
		if strings.Contains(body.String(), word) {
			crashes.Add(1)
			_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
			panic(http.ErrAbortHandler)
		}
		if strings.Contains(body.String(), "slow") {
			for range 80 {
				fmt.Fprint(w, event("slow"))
				_ = http.NewResponseController(w).Flush() // A caller that has gone ends the handler's context.
				time.Sleep(50 * time.Millisecond)
			}
		}
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			streams("well")(w, r)
			return
		}
		fmt.Fprint(w, "well")
	}
}

// chat returns the body of a chat completion request with messages.
func chat(messages ...string) string {
	var list []string
	for _, m := range messages {
		list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, m))
	}
	return `{"model":"m","stream":true,"messages":[` + strings.Join(list, ",") + `]}`
}

// TestSoundCallsDoNotWaitForTheEndOfATrial guards against calls with a sound message that wait while another one with it, sent as a
// trial, is answered for long.
func TestSoundCallsDoNotWaitForTheEndOfATrial(t *testing.T) {
	var crashes atomic.Int64
	engines := make([]http.HandlerFunc, 6)
	for i := range engines {
		engines[i] = crashesOn("poison", &crashes)
	}
	r := newTestServer(t, engines...)
	for range 3 {
		r.send(t, "/v1/chat/completions", chat("system", "poison", "own"))
	}
	began, ended := time.Now(), make(chan time.Time, 1)
	go func() {
		resp, _ := r.send(t, "/v1/chat/completions", chat("system", "slow"))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("the trial got %d", resp.StatusCode)
		}
		ended <- time.Now()
	}()
	time.Sleep(500 * time.Millisecond)
	if resp, _ := r.send(t, "/v1/chat/completions", chat("system", "own")); resp.StatusCode == http.StatusOK {
		t.Error("a call is sent with a held message while a trial has just begun")
	}
	time.Sleep(time.Until(began.Add(quarantine.SurvivalTime + 500*time.Millisecond)))
	if resp, _ := r.send(t, "/v1/chat/completions", chat("system", "own")); resp.StatusCode != http.StatusOK {
		t.Errorf("a call got %d after %v of the answer to the trial", resp.StatusCode, quarantine.SurvivalTime)
	}
	if end := <-ended; end.Sub(began) < quarantine.SurvivalTime+time.Second {
		t.Errorf("the trial ended after %v, too early to show anything", end.Sub(began))
	}
}

// TestCallsThatCrashEnginesReachFew guards against chat completions with a message, or calls, that crash one engine after another.
func TestCallsThatCrashEnginesReachFew(t *testing.T) {
	for name, test := range map[string]struct {
		path            string
		crashing, sound func(i int) string
		headers         []string
	}{
		"a message of many prompts": {"/v1/chat/completions", func(i int) string { return chat("system", "poison", fmt.Sprint("own", i)) }, func(i int) string { return chat("system", fmt.Sprint("own", i)) }, nil},
		"that may run once":         {"/v1/chat/completions", func(int) string { return chat("system", "poison", "own") }, func(i int) string { return chat("system", fmt.Sprint("own", i)) }, []string{front.HeaderNotRepeatable, "true"}},
		"calls that are alike":      {"/services/bids/x", func(int) string { return "poison" }, func(i int) string { return fmt.Sprint("sound", i) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var crashes atomic.Int64
			engines := make([]http.HandlerFunc, 12)
			for i := range engines {
				engines[i] = crashesOn("poison", &crashes)
			}
			r := newTestServer(t, engines...)
			last := ""
			for i := range 12 {
				resp, body := r.send(t, test.path, test.crashing(i), test.headers...)
				if last = ""; resp.StatusCode == http.StatusBadRequest {
					last = code(t, body)
				}
				for try := 0; ; try++ { // A sound call may meet engines that are gone.
					if resp, _ := r.send(t, test.path, test.sound(100*i+try)); resp.StatusCode == http.StatusOK {
						break
					}
					if try > 4 {
						t.Fatalf("sound call %d is not served", i)
					}
				}
			}
			if last != front.CodeCrashesEngines {
				t.Errorf("the last crashing call got %q, want %q", last, front.CodeCrashesEngines)
			}
			if crashes.Load() > allowedCrashes {
				t.Errorf("%d engines crashed, want %d at most", crashes.Load(), allowedCrashes)
			}
			if resp, _ := r.send(t, test.path, test.sound(5000)); resp.StatusCode != http.StatusOK {
				t.Errorf("a sound call got %d", resp.StatusCode)
			}
		})
	}
}
