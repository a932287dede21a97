package bench

import (
	"fmt"
)

// Bounds are what `make bench` fails on. All are ratios within one run.
type Bounds struct {
	TopAttainment   float64 `json:"top_attainment_to_oracle"` // TopAttainment: the broker's to the oracle's, at least.
	Goodput         float64 `json:"goodput_to_oracle"`        // Goodput: the broker's to the oracle's, at least.
	TopToDirect     float64 `json:"top_attainment_to_direct"` // TopToDirect: the broker's to direct's, at least.
	GoodputToDirect float64 `json:"goodput_to_direct"`        // GoodputToDirect: the broker's to direct's, at least.
	Wasted          float64 `json:"wasted"`                   // Wasted tokens of all generated without crashes, at most.
	RoutedP50       float64 `json:"routed_first_token_p50"`   // RoutedP50: first token through a node to straight, median, at most.
	RoutedP99       float64 `json:"routed_first_token_p99"`   // RoutedP99: the same at the 99th percentile, at most.
	TokenToRequest  float64 `json:"cpu_token_to_cpu_request"` // TokenToRequest: processor time of a token to that of a request, at most.
	ControlToBudget float64 `json:"control_bytes_to_budget"`  // ControlToBudget: control bytes a request to the 690 that the size allows, at most.
}

// budgetBytes is how many control bytes a request may cost over all nodes at the
// size to design for: 390 nodes at 9 KB/s for 5,100 requests a second.
const budgetBytes = 690

// Check returns what is out of bounds without faults, over all seeds together.
func (b *Bounds) Check(results []Result) []error {
	groups := map[string][]Result{}
	for _, r := range results {
		if r.Fault == FaultNone {
			groups[r.Policy] = append(groups[r.Policy], r)
		}
	}
	broker, direct, best := groups["broker"], groups["direct"], groups[PolicyOracle]
	top := attainment("confirm")
	goodput := func(r Result) float64 { return r.Report.Goodput }
	var out []error
	least := func(name string, got, bound float64) {
		if got < bound {
			out = append(out, fmt.Errorf("%s is %.3f, bound at least %.3f", name, got, bound))
		}
	}
	least("top tier's attainment to the oracle's", mean(broker, top)/mean(best, top), b.TopAttainment)
	least("goodput to the oracle's", mean(broker, goodput)/mean(best, goodput), b.Goodput)
	least("top tier's attainment to direct's", mean(broker, top)/mean(direct, top), b.TopToDirect)
	least("goodput to direct's", mean(broker, goodput)/mean(direct, goodput), b.GoodputToDirect)
	if w := mean(broker, func(r Result) float64 { return r.Wasted }); w > b.Wasted {
		out = append(out, fmt.Errorf("wasted work is %.3f, bound at most %.3f", w, b.Wasted))
	}
	for _, r := range broker {
		if r.Violations+r.Inversions > 0 {
			out = append(out, fmt.Errorf("seed %d: %d violations, %d inversions, bound 0", r.Seed, r.Violations, r.Inversions))
		}
	}
	return out
}

// CheckOverhead returns what is out of bounds of the cost of going through a node.
func (b *Bounds) CheckOverhead(o *Overhead) []error {
	var out []error
	most := func(name string, got, bound float64) {
		if got > bound {
			out = append(out, fmt.Errorf("%s is %.3f, bound at most %.3f", name, got, bound))
		}
	}
	most("first token through a node to straight, median", o.RoutedP50/o.DirectP50, b.RoutedP50)
	most("first token through a node to straight, p99", o.RoutedP99/o.DirectP99, b.RoutedP99)
	most("processor time of a token to that of a request", o.CPUToken/o.CPURequest, b.TokenToRequest)
	most("control bytes of a request to the budget", o.Bytes/budgetBytes, b.ControlToBudget)
	return out
}
