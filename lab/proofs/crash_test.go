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

// heldParts is the statement that lists the held prompt parts.
const heldParts = `held where state = "held part"`

// waitHeld waits until a node lists a number of rows of held parts at all nodes.
func (r *rig) waitHeld(n *cluster.Node, count int) error {
	return cluster.Wait(fmt.Sprintf("%d rows are held", count), 15*time.Second, func() bool {
		list, err := r.Statement(context.Background(), n, heldParts, "")
		return err == nil && len(list.Rows) == count
	})
}

// endedEngines returns the number of engines whose process has ended.
func (r *rig) endedEngines() (n int) {
	for _, e := range r.Engines {
		if e.Exited() {
			n++
		}
	}
	return n
}

// killAndStartNodes kills all nodes at once and starts them again.
func (r *rig) killAndStartNodes() {
	r.t.Helper()
	for _, n := range r.Nodes {
		n.Kill()
	}
	for i := range r.Nodes {
		_, err := r.StartNode(i)
		must(r.t, err)
	}
	must(r.t, r.WaitReady(context.Background()))
}

// TestMessageThatCrashesEnginesReachesFew sends prompts with one message that ends the engine's process to all nodes in turn, among sound ones
// with the same first message, starts a node again meanwhile, kills all nodes at once, and releases the message.
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
	refused := func(last string) {
		t.Helper()
		if !strings.Contains(last, "crashes_engines") {
			t.Errorf("a prompt with the message got %s", last)
		}
	}
	refused(send(10, 16))
	before := r.endedEngines()
	t.Logf("%d of %d engines ended", before, len(r.Engines))
	if before == 0 || before > maxCrashedEngines {
		t.Errorf("%d engines ended, want 1 to %d", before, maxCrashedEngines)
	}
	r.killAndStartNodes()
	must(t, r.waitHeld(r.Nodes[0], 3))
	refused(send(20, 26))
	if n := r.endedEngines(); n != before {
		t.Errorf("%d engines ended after all nodes were killed, %d before", n, before)
	}
	for i := range 6 {
		if status, text := r.chat(i%3, "system", own(2000+i)); status != http.StatusOK {
			t.Errorf("a sound prompt got %d %s", status, text)
		}
	}
	list, err := r.Statement(context.Background(), r.Nodes[1], heldParts, "")
	must(t, err)
	if len(list.Rows) != 3 {
		t.Fatalf("held: %+v, want one part at each node", list.Rows)
	}
	_, err = r.Statement(context.Background(), r.Nodes[1], "release "+list.Rows[0].Name, "")
	must(t, err)
	must(t, r.waitHeld(r.Nodes[0], 0))
}
