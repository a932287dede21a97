// Package check finds verdicts on the invariants from what the callers sent and
// received and what the backends executed, not from the router's own word.
package check

import (
	"fmt"
	"sort"

	"github.com/croftturn/croftturn/lab/record"
)

// Invariants that Run looks at.
const (
	AtMostOnce   = "at most once"
	NotRun       = "not run means it did not run"
	WholeAnswers = "whole answers, the right ones"
)

// Violation is one breach of an invariant.
type Violation struct {
	Invariant string
	Mark      string
	Detail    string
}

// String describes the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Invariant, v.Mark, v.Detail) }

// Run returns all violations, in a fixed order.
func Run(sent []record.Sending, executed []record.Execution) []Violation {
	starts := map[string][]record.Execution{}
	for _, e := range executed {
		if e.Event == "start" {
			starts[e.Mark] = append(starts[e.Mark], e)
		}
	}
	sendings := map[string][]record.Sending{}
	for _, s := range sent {
		sendings[s.Mark] = append(sendings[s.Mark], s)
	}
	var out []Violation
	for mark, list := range sendings {
		out = append(out, atMostOnce(mark, list, starts[mark])...)
		for _, s := range list {
			out = append(out, notRun(s, list, starts[mark])...)
			out = append(out, whole(s, starts[mark])...)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// atMostOnce looks for a keyed request that was executed more than once.
func atMostOnce(mark string, sent []record.Sending, starts []record.Execution) []Violation {
	if sent[0].Key == "" || len(starts) <= 1 {
		return nil
	}
	return []Violation{{AtMostOnce, mark, fmt.Sprintf("executed %d times, on %s and %s", len(starts), starts[0].Backend, starts[1].Backend)}}
}

// notRun looks for an execution that a refusal denied: one of the refused
// sending itself, or one of the same key by a sending from before the refusal.
func notRun(refused record.Sending, all []record.Sending, starts []record.Execution) []Violation {
	if refused.Outcome != "not_run" {
		return nil
	}
	answered := refused.SentMs + int64(refused.TotalMs)
	sentLater := map[string]bool{}
	for _, s := range all {
		if s.SentMs >= answered && s.Request != "" {
			sentLater[s.Request] = true
		}
	}
	for _, e := range starts {
		if e.Request == refused.Request || (refused.Key != "" && !sentLater[e.Request] && !onlyLater(all, answered)) {
			return []Violation{{NotRun, refused.Mark, fmt.Sprintf("try %d was refused as not run, but request %s started on %s", refused.Try, e.Request, e.Backend)}}
		}
	}
	return nil
}

// onlyLater reports whether some sending after a time got no request id, so
// that an execution may be its.
func onlyLater(all []record.Sending, answered int64) bool {
	for _, s := range all {
		if s.SentMs >= answered && s.Request == "" {
			return true
		}
	}
	return false
}

// whole looks for a completed answer that is another's, has a hole, or belongs
// to no execution.
func whole(s record.Sending, starts []record.Execution) []Violation {
	switch {
	case s.Outcome != "completed":
		return nil
	case s.Fault != "":
		return []Violation{{WholeAnswers, s.Mark, s.Fault}}
	case len(starts) == 0:
		return []Violation{{WholeAnswers, s.Mark, "completed, but no backend executed it"}}
	}
	return nil
}
