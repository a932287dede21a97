package proofs

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/engine"
	"github.com/croftturn/croftturn/lab/load"
)

// TestWholeAnswersUnderFaults streams repeatable and not repeatable requests
// while engines break off, send malformed events, stall, crash and come back, a
// node freezes and another is killed, some of it together and twice. Each
// completed answer must be whole and its own, and each refusal true.
func TestWholeAnswersUnderFaults(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 4, Engines: 4, Services: 2, Slots: 16, Queue: 8, Settings: func(i int, s map[string]any) {
		quickLeave(i, s)
		s["engine_stall_ms"] = 500
	}})
	ctx, cancel := context.WithCancel(context.Background())
	r.traffic(ctx, 12,
		load.ClassLoad{Class: "confirm", Tier: 1, Model: "desk-1", Tokens: 12, TokensSpread: 0.3},
		load.ClassLoad{Class: "explain", Tier: 3, Model: "desk-1", Tokens: 120, TokensSpread: 0.5},
		load.ClassLoad{Class: "offer", Tier: 2, Model: "desk-1", Tokens: 40, Once: true},
		load.ClassLoad{Class: "submit", Tier: 1, Service: "bids", Once: true})
	for range 2 {
		r.faults(r.Engines[0], engine.Faults{BreakAfter: 5})
		r.pause(800 * time.Millisecond)
		r.faults(r.Engines[1], engine.Faults{Malformed: 8})
		r.Engines[2].Kill()
		r.pause(800 * time.Millisecond)
		must(t, r.Nodes[1].Signal(syscall.SIGSTOP))
		r.faults(r.Engines[0], engine.Faults{})
		must(t, r.RestartBackend(r.Engines[2]))
		r.faults(r.Engines[1], engine.Faults{StallAfter: 10})
		r.pause(1500 * time.Millisecond)
		r.Nodes[2].Kill()
		must(t, r.Nodes[1].Signal(syscall.SIGCONT))
		r.faults(r.Engines[1], engine.Faults{})
		_, err := r.StartNode(2)
		must(t, err)
		must(t, r.WaitReady(ctx))
	}
	cancel()
	completed, _ := r.verdict()
	if completed < len(r.sent)*7/10 {
		t.Errorf("only %d of %d completed", completed, len(r.sent))
	}
}

// TestResumeLosesNothing breaks every stream of one engine again and again: all
// repeatable answers must still come whole, since another engine goes on.
func TestResumeLosesNothing(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 2, Engines: 3, Slots: 16, Queue: 16})
	r.faults(r.Engines[0], engine.Faults{BreakAfter: 10})
	for i := range 20 {
		req := r.request(tell, i, 60)
		req.Key = ""
		r.send(req)
		r.pause(100 * time.Millisecond)
	}
	r.verdict()
	r.allCompleted()
}

// TestResumeOfAWholeAnswerAddsNothing breaks streams after their last token and
// before their end: the next engine has nothing to add, and the answer is whole.
func TestResumeOfAWholeAnswerAddsNothing(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 1, Engines: 2, Slots: 16, Queue: 16})
	for _, e := range r.Engines {
		r.faults(e, engine.Faults{BreakAtEnd: true})
	}
	for i := range 6 {
		req := r.request(tell, i, 10)
		req.Key = ""
		r.keep(r.caller.Send(context.Background(), req))
	}
	r.verdict()
	r.allCompleted()
}
