// Package bench compares the ways of deciding on the same traces and stand-in
// engines in one run, without faults and under them.
package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/check"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/engine"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/record"
)

// Faults that a run can have.
const (
	FaultNone   = "none"
	FaultSlow   = "slow-engine"   // FaultSlow: one engine at a fifth of its speed.
	FaultCrash  = "engine-crash"  // FaultCrash: one engine is killed in the burst.
	FaultFreeze = "frozen-node"   // FaultFreeze: one node is frozen for three seconds in the burst.
	FaultKill   = "broker-killed" // FaultKill: the pool's broker is killed in the burst.
)

type (
	// Options say what is run.
	Options struct {
		Workload *load.Workload
		Policies []string
		Faults   []string
		Seeds    int
		Engines  int
		Nodes    int
		Log      io.Writer
		Plots    string // Plots is a folder for a plot of each run; empty for none.
	}

	// Result is one run of one policy.
	Result struct {
		Policy       string        `json:"policy"`
		Fault        string        `json:"fault"`
		Seed         int           `json:"seed"`
		Report       *load.Report  `json:"report"`
		Wasted       float64       `json:"wasted"` // Wasted is the share of generated tokens that reached nobody whole.
		Jain         float64       `json:"jain"`   // Jain is Jain's index over the teams' completed shares.
		Writes       int           `json:"platform_writes"`
		Reads        int           `json:"platform_reads"`
		ControlBytes int           `json:"control_bytes"` // ControlBytes are sent by all nodes together.
		Violations   int           `json:"violations"`
		Queue        []QueueSample `json:"-"`
		Inversions   int           `json:"inversions"` // Inversions are requests refused while one of a lower tier, sent before, was completed after.
	}
)

// Run runs all policies under all faults with all seeds.
func Run(ctx context.Context, o Options) ([]Result, error) {
	var out []Result
	for _, fault := range o.Faults {
		for seed := 1; seed <= o.Seeds; seed++ {
			for _, policy := range o.Policies {
				r, err := one(ctx, o, policy, fault, seed)
				if err != nil {
					return out, fmt.Errorf("%s, %s, seed %d: %w", policy, fault, seed, err)
				}
				top := r.Report.Class("confirm")
				fmt.Fprintf(o.Log, "%s %s %s seed %d: confirm %.3f, goodput %.0f, wasted %.3f, refused %d, violations %d\n",
					o.Workload.Name, fault, policy, seed, top.Attainment, r.Report.Goodput, r.Wasted, top.Refused, r.Violations)
				out = append(out, r)
			}
		}
	}
	return out, nil
}

// one runs one policy once, on a cluster of its own.
func one(ctx context.Context, o Options, policy, fault string, seed int) (Result, error) {
	r := Result{Policy: policy, Fault: fault, Seed: seed}
	dir, err := os.MkdirTemp("", "croftturn-bench")
	if err != nil {
		return r, fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	c, err := cluster.Start(ctx, cluster.Options{
		Nodes: o.Nodes, Engines: o.Engines, Services: 3, Slots: 16, Queue: 8, StepBase: 18 * time.Millisecond, StepEach: 1200 * time.Microsecond, Dir: dir,
		Config: func(cfg *config.Config) {
			for i := range cfg.Pools {
				if policy != PolicyOracle {
					cfg.Pools[i].Scheduler = config.PoolScheduler(policy)
				}
			}
		},
	})
	if err != nil {
		return r, fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	time.Sleep(time.Second) // The nodes settle; no verdict hangs on it.
	faultCtx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- inject(faultCtx, c, fault, o.Workload.Peak()) }()
	sampled := make(chan []QueueSample, 1)
	if o.Plots != "" {
		go func() { sampled <- sampleQueue(faultCtx, c, c.Nodes[len(c.Nodes)-1]) }()
	}
	opts := load.Options{Nodes: c.CallerAddresses(), Log: &record.Log{}}
	if policy == PolicyOracle {
		best, err := newOracle(c)
		if err != nil {
			cancel()
			return r, err
		}
		defer best.close()
		opts.Send = best.send
	}
	r.Report = load.Run(ctx, o.Workload.Trace(uint64(seed)), opts)
	cancel()
	if err := <-done; err != nil {
		return r, fmt.Errorf("inject fault: %w", err)
	}
	if o.Plots != "" {
		r.Queue = <-sampled
		if err := Plot(o.Plots, fmt.Sprintf("%s-%s-%s-%d", o.Workload.Name, fault, policy, seed), &r); err != nil {
			return r, err
		}
	}
	return r, r.measure(c)
}

// measure reads what the stand-ins and the nodes counted.
func (r *Result) measure(c *cluster.Cluster) error {
	executed, err := record.Read[record.Execution](c.ExecutionsLog())
	if err != nil {
		return err
	}
	r.Violations = len(check.Run(r.Report.Sent, executed))
	generated, useful := 0, 0
	for _, e := range executed {
		if e.Event != "start" {
			generated += e.Tokens
		}
	}
	for _, s := range r.Report.Sent {
		if s.Outcome == "completed" && s.OutputRequested > 1 {
			useful += s.Tokens
		}
	}
	if generated > 0 {
		r.Wasted = math.Max(0, 1-float64(useful)/float64(generated))
	}
	r.Jain = jain(r.Report.Teams)
	r.Inversions = inversions(r.Report.Sent)
	for _, n := range c.Nodes {
		if n.Exited() {
			continue
		}
		m, err := Metrics(n)
		if err != nil {
			return err
		}
		r.ControlBytes += int(m["croftturn_control_bytes_out"])
		r.Reads += int(m["croftturn_platform_reads"])
		r.Writes += int(m["croftturn_platform_writes"])
	}
	return nil
}

// jain returns Jain's index over the shares of their requests that teams got
// completed.
func jain(teams map[string][2]int) float64 {
	sum, squares := 0.0, 0.0
	for _, t := range teams {
		x := float64(t[0]) / float64(t[1])
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(teams)) * squares)
}

// inversions counts requests for the model pool that were refused for want of
// room while a request of a lower tier that was sent before waited on and was
// served after.
func inversions(sent []record.Attempt) int {
	n := 0
	for _, s := range sent {
		if s.Outcome != "not_run" || s.OutputRequested <= 1 {
			continue
		}
		refusedAt := float64(s.SentMs) + s.TotalMs
		for _, other := range sent {
			first := float64(other.SentMs) + other.FirstMs
			if other.OutputRequested > 1 && other.Tier > s.Tier && other.Outcome == "completed" && other.SentMs < s.SentMs && first > refusedAt {
				n++
				break
			}
		}
	}
	return n
}

var metricLine = regexp.MustCompile(`(?m)^([a-z_]+)(?:\{[^}]*\})? ([0-9.e+-]+)$`)

// Metrics reads a node's metrics; of a metric with labels the sum.
func Metrics(n *cluster.Node) (map[string]float64, error) { return MetricsAt(n.Admin) }

// MetricsAt reads the metrics at an administration address.
func MetricsAt(address string) (map[string]float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, fmt.Errorf("read metrics at %s: %w", address, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read metrics at %s: %w", address, err)
	}
	out := map[string]float64{}
	for _, m := range metricLine.FindAllStringSubmatch(string(text), -1) {
		if v, err := strconv.ParseFloat(m[2], 64); err == nil {
			out[m[1]] += v
		}
	}
	return out, nil
}

// inject brings a fault about at the peak.
func inject(ctx context.Context, c *cluster.Cluster, fault string, peak time.Duration) error {
	const outage = 3 * time.Second
	if fault == FaultSlow {
		return c.Post(c.Engines[0].Address, "/control/faults", engine.Faults{Slow: 5})
	}
	if fault == FaultNone || !pause.For(ctx, peak) {
		return nil
	}
	switch fault {
	case FaultCrash:
		c.Engines[1].Kill()
		pause.For(ctx, outage)
		return c.RestartBackend(c.Engines[1])
	case FaultFreeze:
		if err := c.Nodes[0].Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause.For(ctx, outage)
		return c.Nodes[0].Signal(syscall.SIGCONT)
	case FaultKill:
		BrokerNode(ctx, c).Kill()
	}
	return nil
}

// BrokerNode returns the node that is the model pool's broker.
func BrokerNode(ctx context.Context, c *cluster.Cluster) *cluster.Node {
	r, err := c.Statement(ctx, c.Nodes[0], "engines where pool = llm", "")
	if err == nil && len(r.Rows) > 0 {
		for _, n := range c.Nodes {
			if n.Name == r.Rows[0].Node {
				return n
			}
		}
	}
	return c.Nodes[0]
}

// Print writes means over the seeds, with the spread, as a table.
func Print(out io.Writer, results []Result) {
	type key struct{ fault, policy string }
	var order []key
	groups := map[key][]Result{}
	for _, r := range results {
		k := key{r.Fault, r.Policy}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FAULT\tPOLICY\tCONFIRM\tOFFER\tEXPLAIN\tSUBMIT\tGOODPUT\tWASTED\tREFUSED 1/2/3\tUNKNOWN\tINVERSIONS\tJAIN\tVIOLATIONS\tCONTROL B/REQ\tWRITES")
	for _, k := range order {
		g := groups[k]
		requests := mean(g, func(r Result) float64 { return float64(r.Report.Requests()) })
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%.0f/%.0f/%.0f\t%.1f\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\n", k.fault, k.policy,
			spread(g, attainment("confirm"), "%.3f"), spread(g, attainment("offer"), "%.3f"), spread(g, attainment("explain"), "%.3f"), spread(g, attainment("submit"), "%.3f"),
			spread(g, func(r Result) float64 { return r.Report.Goodput }, "%.0f"), mean(g, func(r Result) float64 { return r.Wasted }),
			mean(g, refused(1)), mean(g, refused(2)), mean(g, refused(3)), mean(g, func(r Result) float64 { return float64(r.Report.Unknowns()) }),
			mean(g, func(r Result) float64 { return float64(r.Inversions) }),
			mean(g, func(r Result) float64 { return r.Jain }), mean(g, func(r Result) float64 { return float64(r.Violations) }),
			mean(g, func(r Result) float64 { return float64(r.ControlBytes) })/requests, mean(g, func(r Result) float64 { return float64(r.Writes) }))
	}
	w.Flush()
}

// attainment returns what reads a class's attainment.
func attainment(class string) func(r Result) float64 {
	return func(r Result) float64 { return r.Report.Class(class).Attainment }
}

// refused returns what counts the refusals of a tier.
func refused(tier int) func(r Result) float64 {
	return func(r Result) float64 {
		n := 0
		for _, c := range r.Report.Classes {
			if c.Tier == tier {
				n += c.Refused
			}
		}
		return float64(n)
	}
}

// mean returns the mean of a number over results.
func mean(g []Result, f func(r Result) float64) float64 {
	sum := 0.0
	for _, r := range g {
		sum += f(r)
	}
	return sum / float64(len(g))
}

// spread writes the mean, and the least and the greatest.
func spread(g []Result, f func(r Result) float64, format string) string {
	low, high := math.Inf(1), math.Inf(-1)
	for _, r := range g {
		low, high = math.Min(low, f(r)), math.Max(high, f(r))
	}
	return fmt.Sprintf(format+" ["+format+" "+format+"]", mean(g, f), low, high)
}
