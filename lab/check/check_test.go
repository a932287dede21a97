package check_test

import (
	"testing"

	"github.com/croftturn/croftturn/lab/check"
	"github.com/croftturn/croftturn/lab/record"
)

// TestPlantedFaults checks that every planted fault is found, and that a run without faults
// has no violation.
func TestPlantedFaults(t *testing.T) {
	start := func(request, backend string, at int64) record.Execution {
		return record.Execution{Backend: backend, Request: request, Key: "k", Mark: "m", Event: "start", AtMs: at}
	}
	attempt := func(try int, outcome, request string, at int64) record.Attempt {
		return record.Attempt{Mark: "m", Try: try, Key: "t/k", Outcome: outcome, Request: request, SentMs: at, TotalMs: 10}
	}
	for _, tc := range []struct {
		name     string
		sent     []record.Attempt
		executed []record.Execution
		want     string
	}{
		{"no violation", []record.Attempt{attempt(1, "completed", "r1", 0)}, []record.Execution{start("r1", "e1", 1)}, ""},
		{"refused, then run by a later attempt", []record.Attempt{attempt(1, "not_run", "r1", 0), attempt(2, "completed", "r2", 20)}, []record.Execution{start("r2", "e1", 25)}, ""},
		{"run twice", []record.Attempt{attempt(1, "unknown", "r1", 0), attempt(2, "completed", "r2", 20)}, []record.Execution{start("r1", "e1", 1), start("r2", "e2", 21)}, check.AtMostOnce},
		{"refused but run", []record.Attempt{attempt(1, "not_run", "r1", 0)}, []record.Execution{start("r1", "e1", 1)}, check.NotRun},
		{"refused, but an earlier attempt runs later", []record.Attempt{attempt(1, "error", "", 0), attempt(2, "not_run", "r2", 5)}, []record.Execution{start("r1", "e1", 50)}, check.NotRun},
		{"answer of another request", []record.Attempt{{Mark: "m", Outcome: "completed", Fault: "token 3 is another's"}}, []record.Execution{start("r1", "e1", 1)}, check.CompleteAnswers},
		{"answer without an execution", []record.Attempt{attempt(1, "completed", "r1", 0)}, nil, check.CompleteAnswers},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := check.Run(tc.sent, tc.executed)
			if tc.want == "" {
				if len(got) > 0 {
					t.Errorf("Run() = %v, want no violation", got)
				}
				return
			}
			if len(got) == 0 || got[0].Invariant != tc.want {
				t.Errorf("Run() = %v, want a violation of %q", got, tc.want)
			}
		})
	}
}
