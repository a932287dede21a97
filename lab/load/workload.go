// Package load sends open-loop traffic by class, checks every answer, and
// reports attainment, goodput and refusals.
package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"time"
)

type (
	// Workload describes traffic; together with a seed it gives a trace.
	Workload struct {
		Name       string      `json:"name"`
		DurationMs int         `json:"duration_ms"`
		Teams      []Team      `json:"teams"`
		Classes    []ClassLoad `json:"classes"`
	}

	// Team is a caller, and the share of the requests it sends.
	Team struct {
		Name  string  `json:"name"`
		Token string  `json:"token"`
		Share float64 `json:"share"`
	}

	// ClassLoad is the traffic of one class.
	ClassLoad struct {
		Class         string  `json:"class"`
		Tier          int     `json:"tier"`
		Model         string  `json:"model,omitempty"`   // Model is asked for chat completions.
		Service       string  `json:"service,omitempty"` // Service is the pool of plain calls.
		Once          bool    `json:"once,omitempty"`    // Once gives each request an idempotency key.
		Rate          float64 `json:"rate"`              // Rate is requests a second outside the burst.
		BurstRate     float64 `json:"burst_rate,omitempty"`
		BurstFromMs   int     `json:"burst_from_ms,omitempty"`
		BurstToMs     int     `json:"burst_to_ms,omitempty"`
		Tokens        float64 `json:"tokens,omitempty"`        // Tokens is the median length of an answer.
		TokensSpread  float64 `json:"tokens_spread,omitempty"` // TokensSpread is the sigma of its logarithm.
		PromptWords   int     `json:"prompt_words,omitempty"`
		TargetFirstMs float64 `json:"target_first_ms,omitempty"`
		TargetTotalMs float64 `json:"target_total_ms,omitempty"`
	}

	// Arrival is one request of a trace.
	Arrival struct {
		At     time.Duration
		Mark   string
		Class  *ClassLoad
		Team   *Team
		Tokens int
	}
)

// Read reads a workload from a file.
func Read(path string) (*Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read workload: %w", err)
	}
	w := &Workload{}
	if err := json.Unmarshal(text, w); err != nil {
		return nil, fmt.Errorf("decode workload %s: %w", path, err)
	}
	return w, nil
}

// Trace draws the arrivals of a workload; equal seeds give equal traces.
func (w *Workload) Trace(seed uint64) []Arrival {
	var out []Arrival
	for i := range w.Classes {
		c := &w.Classes[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := 0.0; ; {
			at += r.ExpFloat64() / c.rateAt(at*1000)
			if at*1000 >= float64(w.DurationMs) {
				break
			}
			tokens := int(c.Tokens * math.Exp(c.TokensSpread*r.NormFloat64()))
			out = append(out, Arrival{
				At: time.Duration(at * float64(time.Second)), Mark: fmt.Sprintf("%s-%d-%d", c.Class, seed, len(out)),
				Class: c, Team: w.pick(r), Tokens: max(1, tokens),
			})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// Peak returns a time in the middle of the first burst.
func (w *Workload) Peak() time.Duration {
	for _, c := range w.Classes {
		if c.BurstRate > 0 {
			return time.Duration(c.BurstFromMs+c.BurstToMs) / 2 * time.Millisecond
		}
	}
	return time.Duration(w.DurationMs) / 2 * time.Millisecond
}

// rateAt returns a class's rate at a time in milliseconds.
func (c *ClassLoad) rateAt(ms float64) float64 {
	if ms >= float64(c.BurstFromMs) && ms < float64(c.BurstToMs) {
		return c.BurstRate
	}
	return c.Rate
}

// pick draws a team by its share.
func (w *Workload) pick(r *rand.Rand) *Team {
	sum := 0.0
	for _, t := range w.Teams {
		sum += t.Share
	}
	x := r.Float64() * sum
	for i := range w.Teams {
		if x -= w.Teams[i].Share; x < 0 {
			return &w.Teams[i]
		}
	}
	return &w.Teams[len(w.Teams)-1]
}
