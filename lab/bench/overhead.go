package bench

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
)

// Overhead is what going through a node adds to a call, in one run.
type Overhead struct {
	DirectP50  float64 `json:"direct_p50_ms"` // DirectP50 is the time to the first token straight from the engine.
	DirectP99  float64 `json:"direct_p99_ms"`
	RoutedP50  float64 `json:"routed_p50_ms"` // RoutedP50 is the same through a node.
	RoutedP99  float64 `json:"routed_p99_ms"`
	CPUToken   float64 `json:"cpu_us_per_token"`   // CPUToken is the nodes' processor time for a token, at one stream at a time.
	CPURequest float64 `json:"cpu_us_per_request"` // CPURequest is the nodes' processor time for a request of one token.
	Bytes      float64 `json:"control_bytes_per_request"`
}

// MeasureOverhead sends requests one after the other, by turns straight to the
// engine and through a node that is not the broker.
func MeasureOverhead(ctx context.Context, requests int) (*Overhead, error) {
	dir, err := os.MkdirTemp("", "croftturn-overhead")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	c, err := cluster.Start(ctx, cluster.Options{Nodes: 2, Engines: 1, Slots: 4, Queue: 4, StepBase: 5 * time.Millisecond, StepEach: time.Microsecond, Dir: dir})
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	caller := load.NewCaller(nil)
	defer caller.Close()
	node := c.Nodes[0]
	if BrokerNode(ctx, c) == node {
		node = c.Nodes[1]
	}
	send := func(i, tokens int, address string) (float64, error) {
		class := &load.ClassLoad{Class: "explain", Tier: 3, Model: "desk-1"}
		r := load.Request{Node: address, Arrival: load.Arrival{Mark: fmt.Sprint("o", i), Class: class, Team: &load.Team{Name: "alfa", Token: "alfa-token"}, Tokens: tokens}}
		s := caller.Send(ctx, r)
		if s.Outcome != "completed" {
			return 0, fmt.Errorf("request through %s: %s %s", address, s.Outcome, s.Code)
		}
		return s.FirstMs, nil
	}
	const warm = 20
	var direct, routed []float64
	for i := range warm + requests {
		d, err := send(i, 1, c.Engines[0].Address)
		if err != nil {
			return nil, err
		}
		v, err := send(i, 1, node.Caller)
		if err != nil {
			return nil, err
		}
		if i >= warm {
			direct, routed = append(direct, d), append(routed, v)
		}
	}
	o := &Overhead{}
	o.DirectP50, o.DirectP99 = quantile(direct, 0.5), quantile(direct, 0.99)
	o.RoutedP50, o.RoutedP99 = quantile(routed, 0.5), quantile(routed, 0.99)
	return o, o.costs(c, node, send)
}

// costs measures processor time and control bytes, less what idle nodes use.
func (o *Overhead) costs(c *cluster.Cluster, node *cluster.Node, send func(i, tokens int, address string) (float64, error)) error {
	const short, long, times, window = 1, 200, 40, 2 * time.Second
	idle, err := used(c, func() error { time.Sleep(window); return nil })
	if err != nil {
		return err
	}
	run := func(tokens int) (usage, error) {
		return used(c, func() error {
			for i := range times {
				if _, err := send(i, tokens, node.Caller); err != nil {
					return err
				}
			}
			return nil
		})
	}
	one, err := run(short)
	if err != nil {
		return err
	}
	many, err := run(long)
	if err != nil {
		return err
	}
	o.CPURequest = (one.cpu - idle.cpu*one.seconds/idle.seconds) / times
	o.CPUToken = ((many.cpu - idle.cpu*many.seconds/idle.seconds) - (one.cpu - idle.cpu*one.seconds/idle.seconds)) / (times * (long - short))
	o.Bytes = (one.bytes - idle.bytes*one.seconds/idle.seconds) / times
	return nil
}

// usage is what all nodes used while something was done.
type usage struct{ cpu, bytes, seconds float64 }

// used measures all nodes while f runs.
func used(c *cluster.Cluster, f func() error) (usage, error) {
	read := func() (usage, error) {
		var u usage
		for _, n := range c.Nodes {
			m, err := Metrics(n)
			if err != nil {
				return u, err
			}
			u.cpu += m["croftturn_cpu_microseconds"]
			u.bytes += m["croftturn_control_bytes_out"]
		}
		return u, nil
	}
	before, err := read()
	if err != nil {
		return before, err
	}
	begun := time.Now()
	if err := f(); err != nil {
		return before, err
	}
	after, err := read()
	return usage{after.cpu - before.cpu, after.bytes - before.bytes, time.Since(begun).Seconds()}, err
}

// quantile returns a quantile of a list, which it sorts.
func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}
