// Package sched gets a place on an engine for a request. Its schedulers stand
// behind one interface, so that they can be compared: each node on its own
// (Direct, RoundRobin), or the pool's broker for all nodes (Brokered).
package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/config"
)

type (
	// Request is what a scheduler needs to know of a request.
	Request struct {
		ID           string
		Pool         string
		Class        string
		Team         string
		PromptTokens int    // PromptTokens is an estimate.
		MaxTokens    int    // MaxTokens is the caller's bound; 0 for none.
		Prefix       string // Prefix is a digest of the prompt's beginning.
		Exclude      string // Exclude names an engine that failed the request.
		Arrived      time.Time
	}

	// Grant is a place on an engine. Each is released once.
	Grant struct {
		Engine *config.Engine
		Why    string // Why tells how the decision came about.
	}

	// Result is what a request showed of its engine.
	Result struct {
		Status       string // Status is one of the broker package's.
		OutputTokens int
		Duration     time.Duration
		FirstToken   time.Duration
	}

	// Scheduler gets and gives back places. Acquire waits until there is one,
	// and fails with a *Refusal where there will be none.
	Scheduler interface {
		Acquire(ctx context.Context, req Request) (Grant, error)
		Release(req Request, g Grant, res Result)
	}

	// Refusal says why a request gets no place. It did not run.
	Refusal struct {
		Reason     string
		RetryAfter time.Duration
		Why        string
	}
)

// Error describes the refusal.
func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s: %s", r.Reason, r.Why) }

// Reasons of this package, besides those of a broker.
const (
	ReasonNoEngine   = "no_engine"   // ReasonNoEngine: no engine of the pool can take work.
	ReasonEngineFull = "engine_full" // ReasonEngineFull: the engines that were tried are full.
)
