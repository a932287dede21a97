package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// onNode returns a fault of a node that no other fault has taken; where another has,
// nothing happens.
func onNode(do func(ctx context.Context, w *World, n *node, d time.Duration) error) injection {
	return func(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
		n := w.take(r)
		if n == nil {
			return nil
		}
		defer w.giveBack(n)
		return do(ctx, w, n, d)
	}
}

// killNode kills a node and starts it again after a while.
func killNode(ctx context.Context, w *World, n *node, d time.Duration) error {
	defer w.ledger.away(n.name)()
	w.expect(n)
	n.Kill()
	pause.For(ctx, d)
	return w.launch(n)
}

// stopNode stops a node as planned and starts it again after a while.
func stopNode(ctx context.Context, w *World, n *node, d time.Duration) error {
	defer w.ledger.away(n.name)()
	w.expect(n)
	if err := n.Stop(stopGrace); err != nil {
		w.ledger.exited(fmt.Sprintf("%s did not stop as planned: %v", n.name, err))
		n.Kill()
	}
	pause.For(ctx, d)
	return w.launch(n)
}

// freezeNode freezes a node and wakes it.
func freezeNode(ctx context.Context, w *World, n *node, d time.Duration) error {
	defer w.ledger.away(n.name)()
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause.For(ctx, d)
	return n.Signal(syscall.SIGCONT)
}

// hangUp tells a node to read its settings again.
func hangUp(_ context.Context, w *World, n *node, _ time.Duration) error {
	return n.Signal(syscall.SIGHUP)
}
