// Package sched assigns requests to slots on engines. Its schedulers share one
// interface, so that they can be compared: they decide at each node alone
// (Direct, RoundRobin, Shared) or at the pool's broker for all nodes (Brokered).
package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/config"
)

type (
	// Request holds what a scheduler needs to know about a request.
	Request struct {
		ID           string
		Pool         string
		Class        string
		Team         string
		PromptTokens int    // PromptTokens is an estimate.
		MaxTokens    int    // MaxTokens is the caller's limit on the answer's length; 0 for none.
		Prefix       string // Prefix is a digest of the start of the prompt.
		Exclude      string // Exclude names an engine that failed the request.
		Arrived      time.Time
	}

	// Grant is a slot on an engine. Each must be released once.
	Grant struct {
		Engine *config.Engine
		Why    string // Why explains the decision.
	}

	// Result is the outcome of a request on its engine.
	Result struct {
		Status       string // Status is one of the broker package's statuses.
		OutputTokens int
		Duration     time.Duration
		FirstToken   time.Duration
	}

	// Scheduler acquires and releases slots. Acquire waits for a slot, and fails
	// with a *Refusal if the request gets none.
	Scheduler interface {
		Acquire(ctx context.Context, req Request) (Grant, error)
		Release(req Request, g Grant, res Result)
	}

	// Refusal is the reason why a request gets no slot. The request did not run.
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
	ReasonNoEngine   = "no_engine"   // ReasonNoEngine: no engine of the pool accepts requests.
	ReasonEngineFull = "engine_full" // ReasonEngineFull: the engines that were tried are full.
)
