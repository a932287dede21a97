// Package slopes measures how the cost of a node grows with members, requests,
// tokens, teams, engines, changes and keys, each varied alone, and fits lines.
package slopes

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/lab/bench"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/record"
)

type (
	// Usage is what all nodes of a cluster used over a time, from the processes'
	// own accounting.
	Usage struct {
		Seconds   float64 `json:"seconds"`
		Nodes     int     `json:"nodes"`
		CPUMicros float64 `json:"cpu_us"`
		BytesOut  float64 `json:"control_bytes_out"`
		BytesIn   float64 `json:"control_bytes_in"`
		Calls     float64 `json:"control_calls"`
		Reads     float64 `json:"platform_reads"`
		Writes    float64 `json:"platform_writes"`
		HeapLive  float64 `json:"heap_live_bytes"` // HeapLive is the largest of any node.
		Memory    float64 `json:"memory_bytes"`    // Memory is the largest of any node.
	}

	// Point is one measurement: the thing varied and what was used.
	Point struct {
		X     float64 `json:"x"`
		Usage Usage   `json:"usage"`
	}

	// Fit is a line through the points of one series.
	Fit struct {
		Name      string  `json:"name"`
		Unit      string  `json:"unit"`
		Slope     float64 `json:"slope"`
		Intercept float64 `json:"intercept"`
		R2        float64 `json:"r2"`
		From      float64 `json:"from"` // From and To bound what was measured.
		To        float64 `json:"to"`
	}

	// Series is one thing varied alone.
	Series struct {
		Varied string  `json:"varied"`
		Points []Point `json:"points"`
		Fits   []Fit   `json:"fits"`
	}

	// Options size the measurements.
	Options struct {
		Members []int         // Members are the numbers of nodes.
		Each    time.Duration // Each is how long one point is measured.
		Only    string        // Only is the one series to measure; empty for all.
		Log     io.Writer
	}

	// setup is one point to measure.
	setup struct {
		x       float64
		cluster cluster.Options
		// broker makes the pool's broker the one node that is measured, and none of
		// the callers' requests go to it.
		broker bool
		// work makes the traffic while usage is measured; nil for none.
		work func(ctx context.Context, c *cluster.Cluster, d time.Duration) error
	}
)

// Run measures all series.
func Run(ctx context.Context, o Options) ([]Series, error) {
	var out []Series
	for _, s := range o.plan() {
		if o.Only != "" && o.Only != s.varied {
			continue
		}
		series := Series{Varied: s.varied}
		for _, p := range s.points {
			u, err := o.point(ctx, p)
			if err != nil {
				return out, fmt.Errorf("%s = %v: %w", s.varied, p.x, err)
			}
			series.Points = append(series.Points, Point{p.x, u})
			fmt.Fprintf(o.Log, "%s = %v: %+v\n", s.varied, p.x, u)
		}
		for _, m := range s.measures {
			series.Fits = append(series.Fits, fit(m, series.Points))
		}
		out = append(out, series)
	}
	return out, nil
}

// measure is one number that is fitted over the points of a series.
type measure struct {
	name, unit string
	value      func(u Usage) float64
}

// plan is one series to measure.
type plan struct {
	varied   string
	points   []setup
	measures []measure
}

// small is a small cluster with fast engines; its size does not vary.
func small() cluster.Options {
	return cluster.Options{Nodes: 3, Engines: 4, Services: 1, Slots: 64, Queue: 64, StepBase: 2 * time.Millisecond, StepEach: 10 * time.Microsecond}
}

// plan lists the series.
func (o Options) plan() []plan {
	var atBroker, members, requests, tokens, teams, engines, changes, keys, waiting []setup
	for _, n := range o.Members {
		c := small()
		c.Nodes = n
		members = append(members, setup{x: float64(n), cluster: c})
	}
	for _, rate := range []float64{20, 80, 160, 320} {
		requests = append(requests, setup{x: rate, cluster: small(), work: chat(rate, 4, false)})
	}
	for _, rate := range []float64{20, 80, 160, 320} {
		atBroker = append(atBroker, setup{x: rate, cluster: small(), broker: true, work: pastBroker(rate)})
	}
	for _, n := range []float64{5, 50, 100, 200} {
		const rate = 40
		tokens = append(tokens, setup{x: n * rate, cluster: small(), work: chat(rate, n, false)})
	}
	for _, n := range []int{10, 100, 540, 2000} {
		c := small()
		c.Config = func(cfg *config.Config) { addTeams(cfg, n) }
		teams = append(teams, setup{x: float64(n), cluster: c})
	}
	for _, n := range []int{4, 64, 200, 600} {
		c := small()
		c.Config = func(cfg *config.Config) { addEngines(cfg, n) }
		engines = append(engines, setup{x: float64(n), cluster: c})
	}
	for _, rate := range []float64{1, 5, 10, 20} {
		changes = append(changes, setup{x: rate, cluster: small(), work: change(rate)})
	}
	for _, rate := range []float64{20, 80, 160, 320} {
		keys = append(keys, setup{x: rate, cluster: small(), work: chat(rate, 4, true)})
	}
	for _, n := range []int{100, 500, 1000, 2000} {
		c := small()
		c.Slots, c.Queue = 4, 4
		waiting = append(waiting, setup{x: float64(n), cluster: c, work: wait(n)})
	}
	return series(members, requests, atBroker, tokens, teams, engines, changes, keys, waiting)
}

// series puts the points of each thing varied together with what is fitted.
func series(members, requests, atBroker, tokens, teams, engines, changes, keys, waiting []setup) []plan {
	perNode := func(f func(u Usage) float64) func(u Usage) float64 {
		return func(u Usage) float64 { return f(u) / float64(u.Nodes) / u.Seconds }
	}
	perSecond := func(f func(u Usage) float64) func(u Usage) float64 {
		return func(u Usage) float64 { return f(u) / u.Seconds }
	}
	bytes := func(u Usage) float64 { return u.BytesOut + u.BytesIn }
	cpu := func(u Usage) float64 { return u.CPUMicros }
	reads := func(u Usage) float64 { return u.Reads }
	writes := func(u Usage) float64 { return u.Writes }
	heap := func(u Usage) float64 { return u.HeapLive }
	return []plan{
		{"members", members, []measure{
			{"control bytes a node", "B/s", perNode(bytes)}, {"CPU a node", "us/s", perNode(cpu)}, {"platform reads a node", "1/s", perNode(reads)}, {"live heap", "B", heap}}},
		{"requests a second", requests, []measure{
			{"control bytes, all nodes", "B/s", perSecond(bytes)}, {"CPU, all nodes", "us/s", perSecond(cpu)}}},
		{"requests a second at the broker", atBroker, []measure{
			{"control bytes of the broker", "B/s", perSecond(bytes)}, {"CPU of the broker", "us/s", perSecond(cpu)}}},
		{"tokens a second", tokens, []measure{{"CPU, all nodes", "us/s", perSecond(cpu)}}},
		{"teams", teams, []measure{{"live heap", "B", heap}, {"CPU a node", "us/s", perNode(cpu)}}},
		{"engines", engines, []measure{{"live heap", "B", heap}, {"CPU, all nodes", "us/s", perSecond(cpu)}}},
		{"changes a second", changes, []measure{
			{"control bytes a node", "B/s", perNode(bytes)}, {"CPU a node", "us/s", perNode(cpu)}, {"platform writes", "1/s", perSecond(writes)}, {"platform reads", "1/s", perSecond(reads)}}},
		{"keyed requests a second", keys, []measure{
			{"platform writes", "1/s", perSecond(writes)}, {"platform reads", "1/s", perSecond(reads)}, {"CPU, all nodes", "us/s", perSecond(cpu)}, {"live heap", "B", heap}}},
		{"waiting requests", waiting, []measure{{"live heap", "B", heap}}},
	}
}

// point measures one setup on a cluster of its own.
func (o Options) point(ctx context.Context, s setup) (Usage, error) {
	dir, err := os.MkdirTemp("", "croftturn-slopes")
	if err != nil {
		return Usage{}, fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	s.cluster.Dir = dir
	c, err := cluster.Start(ctx, s.cluster)
	if err != nil {
		return Usage{}, fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	const settle = 3 * time.Second
	time.Sleep(settle)
	nodes := c.Nodes
	if s.broker {
		nodes = []*cluster.Node{bench.BrokerNode(ctx, c)}
	}
	before, err := read(nodes)
	if err != nil {
		return Usage{}, err
	}
	begun := time.Now()
	if s.work == nil {
		time.Sleep(o.Each)
	} else if err := s.work(ctx, c, o.Each); err != nil {
		return Usage{}, fmt.Errorf("make traffic: %w", err)
	}
	after, err := read(nodes)
	if err != nil {
		return Usage{}, err
	}
	after.minus(before)
	after.Seconds, after.Nodes = time.Since(begun).Seconds(), len(nodes)
	return after, nil
}

// read adds up the nodes' own accounting.
func read(nodes []*cluster.Node) (Usage, error) {
	var u Usage
	for _, n := range nodes {
		m, err := bench.Metrics(n)
		if err != nil {
			return u, err
		}
		u.CPUMicros += m["croftturn_cpu_microseconds"]
		u.BytesOut += m["croftturn_control_bytes_out"]
		u.BytesIn += m["croftturn_control_bytes_in"]
		u.Calls += m["croftturn_control_calls"]
		u.Reads += m["croftturn_platform_reads"]
		u.Writes += m["croftturn_platform_writes"]
		u.HeapLive = math.Max(u.HeapLive, m["croftturn_heap_live_bytes"])
		u.Memory = math.Max(u.Memory, m["croftturn_memory_bytes"])
	}
	return u, nil
}

// minus takes off what had been counted before; sizes of memory stay.
func (u *Usage) minus(before Usage) {
	u.CPUMicros -= before.CPUMicros
	u.BytesOut -= before.BytesOut
	u.BytesIn -= before.BytesIn
	u.Calls -= before.Calls
	u.Reads -= before.Reads
	u.Writes -= before.Writes
}

// fit fits a line through one measure.
func fit(m measure, points []Point) Fit {
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, m.value(p.Usage))
	}
	f := Fit{Name: m.name, Unit: m.unit, From: xs[0], To: xs[len(xs)-1]}
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	return f
}

// chat returns work that sends completions at a rate; with keys they must not
// be repeated.
func chat(rate, tokens float64, keys bool) func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
	return func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
		w := &load.Workload{
			DurationMs: int(d.Milliseconds()), Teams: []load.Team{{Name: "alfa", Token: "alfa-token", Share: 1}},
			Classes: []load.ClassLoad{{Class: "explain", Tier: 3, Model: "desk-1", Rate: rate, Tokens: tokens, Once: keys}},
		}
		report := load.Run(ctx, w.Trace(1), load.Options{Nodes: c.CallerAddresses(), Log: &record.Log{}})
		if done, all := report.Class("explain").Completed, report.Requests(); done < all*99/100 {
			return fmt.Errorf("%d of %d requests completed", done, all)
		}
		return nil
	}
}

// pastBroker returns work that sends completions at a rate to a node which is not
// the broker.
func pastBroker(rate float64) func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
	return func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
		node := c.Nodes[0]
		if bench.BrokerNode(ctx, c) == node {
			node = c.Nodes[1]
		}
		caller := load.NewCaller(nil)
		defer caller.Close()
		w := &load.Workload{
			DurationMs: int(d.Milliseconds()), Teams: []load.Team{{Name: "alfa", Token: "alfa-token", Share: 1}},
			Classes: []load.ClassLoad{{Class: "explain", Tier: 3, Model: "desk-1", Rate: rate, Tokens: 4}},
		}
		load.Run(ctx, w.Trace(1), load.Options{Log: &record.Log{}, Send: func(ctx context.Context, r load.Request) record.Attempt {
			r.Node = node.Caller
			return caller.Send(ctx, r)
		}})
		return nil
	}
}

// wait returns work that keeps a number of requests waiting.
func wait(n int) func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
	return func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		w := &load.Workload{
			DurationMs: 1000, Teams: []load.Team{{Name: "alfa", Token: "alfa-token", Share: 1}},
			Classes: []load.ClassLoad{{Class: "explain", Tier: 3, Model: "desk-1", Rate: float64(n), Tokens: 1e5}},
		}
		load.Run(ctx, w.Trace(1), load.Options{Nodes: c.CallerAddresses(), Log: &record.Log{}})
		return nil
	}
}

// change returns work that changes the configuration at a rate.
func change(rate float64) func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
	return func(ctx context.Context, c *cluster.Cluster, d time.Duration) error {
		tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer tick.Stop()
		for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
			if _, err := c.Statement(ctx, c.Nodes[0], fmt.Sprintf("set team alfa weight = %d", 1+time.Now().UnixMilli()%9), ""); err != nil {
				return err
			}
		}
		return nil
	}
}

// addTeams adds teams to a configuration.
func addTeams(cfg *config.Config, n int) {
	for i := len(cfg.Teams); i < n; i++ {
		name := fmt.Sprintf("team-%d", i)
		cfg.Teams = append(cfg.Teams, config.Team{Name: name, TokenSha256: config.HashToken(name), DefaultClass: "explain"})
	}
}

// addEngines adds engines to a configuration, all at the first one's address.
func addEngines(cfg *config.Config, n int) {
	for i := len(cfg.Engines); i < n; i++ {
		e := cfg.Engines[0]
		e.Name = fmt.Sprintf("more-%d", i)
		cfg.Engines = append(cfg.Engines, e)
	}
}
