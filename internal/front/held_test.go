package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/croftturn/croftturn/internal/front"
)

// allowedCrashes is how many engines a call or a message may crash.
const allowedCrashes = 5

// crashesOn returns a handler that ends its server, as a crash does, on bodies with a word, and streams an answer to others.
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
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			streams("well")(w, r)
			return
		}
		fmt.Fprint(w, "well")
	}
}

// TestCallsThatCrashEnginesReachFew guards against chat completions with a message, or calls, that crash one engine after another.
func TestCallsThatCrashEnginesReachFew(t *testing.T) {
	chat := func(parts ...string) string {
		messages := make([]string, 0, len(parts))
		for _, p := range parts {
			messages = append(messages, fmt.Sprintf(`{"role":"user","content":%q}`, p))
		}
		return `{"model":"m","stream":true,"messages":[` + strings.Join(messages, ",") + `]}`
	}
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
