package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/record"
)

// OnceResult is what one way of running requests at most once cost.
type OnceResult struct {
	Way           string // Way is none, claim or ticket.
	Share         float64
	Outage        bool
	WritesSecond  float64
	ReadsSecond   float64
	P50, P95      float64 // P50 and P95 are the time of a whole call, in milliseconds.
	Served, Total int
}

// RunOnce sends plain calls of which a share must not be repeated, with claims
// and with tickets, without and in an outage of the platform.
func RunOnce(ctx context.Context, rate float64, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WAY\tSHARE\tOUTAGE\tWRITES/S\tREADS/S\tP50\tP95\tSERVED")
	for _, outage := range []bool{false, true} {
		for _, share := range []float64{0.2, 0.5, 1} {
			for _, way := range []string{"none", "claim", "ticket"} {
				if outage && way == "none" {
					continue
				}
				r, err := onceRun(ctx, way, share, rate, outage)
				if err != nil {
					return fmt.Errorf("%s at %v: %w", way, share, err)
				}
				fmt.Fprintf(w, "%s\t%.0f%%\t%v\t%.0f\t%.0f\t%.1f ms\t%.1f ms\t%d of %d\n", r.Way, 100*r.Share, r.Outage, r.WritesSecond, r.ReadsSecond, r.P50, r.P95, r.Served, r.Total)
			}
		}
	}
	return w.Flush()
}

// onceRun measures one way at one share.
func onceRun(ctx context.Context, way string, share, rate float64, outage bool) (*OnceResult, error) {
	dir, err := os.MkdirTemp("", "croftturn-once")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	c, err := cluster.Start(ctx, cluster.Options{Nodes: 7, Engines: 1, Services: 3, Slots: 8, Queue: 8, StepBase: 10 * time.Millisecond, Dir: dir})
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	time.Sleep(time.Second) // The nodes settle; no verdict hangs on it.
	if err := c.Post(c.Platform.Address, "/control/faults", platform.Faults{Down: outage}); err != nil {
		return nil, err
	}
	const seconds = 6
	// The class explain is repeatable; Once marks each request as not.
	once := way != "none"
	wl := &load.Workload{DurationMs: seconds * 1000, Teams: []load.Team{{Name: "alfa", Token: "alfa-token", Share: 1}}, Classes: []load.ClassLoad{
		{Class: "explain", Tier: 3, Service: "bids", Once: once, Rate: share * rate},
		{Class: "confirm", Tier: 1, Service: "bids", Rate: max(0.01, (1-share)*rate)},
	}}
	idle, err := platformCounts(c)
	if err != nil {
		return nil, err
	}
	report := load.Run(ctx, wl.Trace(1), load.Options{Nodes: c.CallerAddresses(), Log: &record.Log{}, Tickets: way == "ticket"})
	after, err := platformCounts(c)
	if err != nil {
		return nil, err
	}
	cl := report.Class("explain")
	var times []float64
	for _, s := range report.Sent {
		if s.Class == "explain" && s.Outcome == "completed" {
			times = append(times, s.TotalMs)
		}
	}
	r := &OnceResult{Way: way, Share: share, Outage: outage, Served: cl.Completed, Total: cl.Requests}
	r.WritesSecond = (after[0] - idle[0]) / report.Seconds
	r.ReadsSecond = (after[1] - idle[1]) / report.Seconds
	if len(times) > 0 {
		r.P50, r.P95 = quantile(times, 0.5), quantile(times, 0.95)
	}
	return r, nil
}

// platformCounts adds up the writes and the reads that the nodes sent.
func platformCounts(c *cluster.Cluster) ([2]float64, error) {
	var out [2]float64
	for _, n := range c.Nodes {
		m, err := Metrics(n)
		if err != nil {
			return out, err
		}
		out[0] += m["croftturn_platform_writes"]
		out[1] += m["croftturn_platform_reads"]
	}
	return out, nil
}
