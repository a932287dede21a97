package proofs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/engine"
	"github.com/croftturn/croftturn/lab/record"
)

// maxCrashedEngines is how many engines a message may end.
const maxCrashedEngines = 5

// chat sends a chat completion with some messages to a node, and returns the status and the body.
func (r *rig) chat(node int, messages ...string) (int, string) {
	r.t.Helper()
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, fmt.Sprintf(`{"role":"user","content":%q}`, m))
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Nodes[node].Caller+"/v1/chat/completions", strings.NewReader(`{"model":"desk-1","messages":[`+strings.Join(parts, ",")+`]}`))
	must(r.t, err)
	req.Header.Set("Authorization", "Bearer "+alfa.Token)
	req.Header.Set("Croftturn-Class", "explain")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// TestMessageThatCrashesEnginesReachesFew sends prompts with one message that ends the engine's process to all nodes in turn, among sound ones
// with the same first message, and starts a node again meanwhile.
func TestMessageThatCrashesEnginesReachesFew(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 3, Engines: 9, Settings: quickLeave})
	own := func(i int) string { return record.Prompt(fmt.Sprint("mark-", i), 5, 3) }
	send := func(from, to int) (last string) {
		for i := from; i < to; i++ {
			_, last = r.chat(i%3, "system", engine.CrashWord, own(i))
			r.chat((i+1)%3, "system", own(1000+i))
			r.pause(150 * time.Millisecond)
		}
		return last
	}
	send(0, 9)
	must(t, r.Nodes[0].Stop(30*time.Second))
	_, err := r.StartNode(0)
	must(t, err)
	must(t, r.WaitReady(context.Background()))
	r.pause(time.Second)
	if last := send(10, 16); !strings.Contains(last, "crashes_engines") {
		t.Errorf("a prompt with the message got %s", last)
	}
	ended := 0
	for _, e := range r.Engines {
		if e.Exited() {
			ended++
		}
	}
	t.Logf("%d of %d engines ended", ended, len(r.Engines))
	if ended == 0 || ended > maxCrashedEngines {
		t.Errorf("%d engines ended, want 1 to %d", ended, maxCrashedEngines)
	}
	for i := range 6 {
		if status, text := r.chat(i%3, "system", own(2000+i)); status != http.StatusOK {
			t.Errorf("a sound prompt got %d %s", status, text)
		}
	}
}
