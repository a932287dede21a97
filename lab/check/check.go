// Package check verifies invariants from the logs of callers and backends, without relying on
// what the router reports.
package check

import (
	"fmt"
	"sort"

	"github.com/croftturn/croftturn/lab/record"
)

// Invariants that Run checks.
const (
	AtMostOnce      = "at most once"
	NotRun          = "a request refused as not run did not run"
	CompleteAnswers = "completed answers are whole and correct"
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant string
	Mark      string
	Detail    string
}

// String formats the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Invariant, v.Mark, v.Detail) }

// Run returns all violations, sorted by their text.
func Run(sent []record.Attempt, executed []record.Execution) []Violation {
	starts := map[string][]record.Execution{}
	for _, e := range executed {
		if e.Event == "start" {
			starts[e.Mark] = append(starts[e.Mark], e)
		}
	}
	attempts := map[string][]record.Attempt{}
	for _, s := range sent {
		attempts[s.Mark] = append(attempts[s.Mark], s)
	}
	var out []Violation
	for mark, list := range attempts {
		out = append(out, atMostOnce(mark, list, starts[mark])...)
		for _, s := range list {
			out = append(out, notRun(s, list, starts[mark])...)
			out = append(out, incompleteAnswer(s, starts[mark])...)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// atMostOnce checks that a request with a key was executed at most once.
func atMostOnce(mark string, sent []record.Attempt, starts []record.Execution) []Violation {
	if sent[0].Key == "" || len(starts) <= 1 {
		return nil
	}
	return []Violation{{AtMostOnce, mark, fmt.Sprintf("executed %d times, on %s and %s", len(starts), starts[0].Backend, starts[1].Backend)}}
}

// notRun checks that no execution contradicts a refusal: neither of the refused attempt
// itself, nor of the same key by an attempt sent before the refusal was received.
func notRun(refused record.Attempt, all []record.Attempt, starts []record.Execution) []Violation {
	if refused.Outcome != "not_run" {
		return nil
	}
	refusedAt := refused.SentMs + int64(refused.TotalMs)
	sentLater := map[string]bool{}
	for _, s := range all {
		if s.SentMs >= refusedAt && s.Request != "" {
			sentLater[s.Request] = true
		}
	}
	for _, e := range starts {
		if e.Request == refused.Request || (refused.Key != "" && !sentLater[e.Request] && !hasLaterWithoutID(all, refusedAt)) {
			return []Violation{{NotRun, refused.Mark, fmt.Sprintf("attempt %d was refused as not run, but request %s started on %s", refused.Try, e.Request, e.Backend)}}
		}
	}
	return nil
}

// hasLaterWithoutID reports whether an attempt sent after a time got no request id, so that an
// execution may belong to it.
func hasLaterWithoutID(all []record.Attempt, refusedAt int64) bool {
	for _, s := range all {
		if s.SentMs >= refusedAt && s.Request == "" {
			return true
		}
	}
	return false
}

// incompleteAnswer checks that a completed answer is its own, has no gap, and belongs to an
// execution.
func incompleteAnswer(s record.Attempt, starts []record.Execution) []Violation {
	switch {
	case s.Outcome != "completed":
		return nil
	case s.Fault != "":
		return []Violation{{CompleteAnswers, s.Mark, s.Fault}}
	case len(starts) == 0:
		return []Violation{{CompleteAnswers, s.Mark, "completed, but no backend executed the request"}}
	}
	return nil
}
