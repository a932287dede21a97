package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// nodeFault returns a fault that acts on a random node; it does nothing if another fault owns
// the node.
func nodeFault(do func(ctx context.Context, env *Environment, n *node, d time.Duration) error) injection {
	return func(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
		n := env.reserveNode(r)
		if n == nil {
			return nil
		}
		defer env.releaseNode(n)
		return do(ctx, env, n, d)
	}
}

// killNode kills a node and restarts it after a delay.
func killNode(ctx context.Context, env *Environment, n *node, d time.Duration) error {
	defer env.ledger.beginOutage(n.name)()
	env.expectExit(n)
	n.Kill()
	pause.For(ctx, d)
	return env.launch(n)
}

// stopNode stops a node gracefully and restarts it after a delay.
func stopNode(ctx context.Context, env *Environment, n *node, d time.Duration) error {
	defer env.ledger.beginOutage(n.name)()
	env.expectExit(n)
	if err := n.Stop(stopGrace); err != nil {
		env.ledger.recordExit(fmt.Sprintf("%s did not stop gracefully: %v", n.name, err))
		n.Kill()
	}
	pause.For(ctx, d)
	return env.launch(n)
}

// freezeNode suspends a node with SIGSTOP and resumes it.
func freezeNode(ctx context.Context, env *Environment, n *node, d time.Duration) error {
	defer env.ledger.beginOutage(n.name)()
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause.For(ctx, d)
	return n.Signal(syscall.SIGCONT)
}

// reloadNode makes a node reload its settings with SIGHUP.
func reloadNode(_ context.Context, env *Environment, n *node, _ time.Duration) error {
	return n.Signal(syscall.SIGHUP)
}
