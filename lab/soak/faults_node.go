package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
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

// restartWithFractions gives all times in a node's settings a fraction, makes it reload them and restarts it.
func restartWithFractions(ctx context.Context, env *Environment, n *node, d time.Duration) error {
	text, err := os.ReadFile(n.settingsPath)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	var s map[string]any
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("decode settings: %w", err)
	}
	for name, value := range s {
		if ms, ok := value.(float64); ok && ms > 0 && strings.HasSuffix(name, "_ms") {
			s[name] = ms + 0.5
		}
	}
	if text, err = json.Marshal(s); err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(n.settingsPath, text, 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := reloadNode(ctx, env, n, d); err != nil {
		return err
	}
	return stopNode(ctx, env, n, d)
}
