package bench

import (
	"context"
	"fmt"
	"path/filepath"
	"sort"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/record"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter

	// sampleEvery is how often the queue's length is asked for.
	sampleEvery = 250 * time.Millisecond
)

// QueueSample is how many requests waited in each tier at a time.
type QueueSample struct {
	Seconds float64
	Tiers   map[int]int
}

// sampleQueue asks a node for what waits until the context ends.
func sampleQueue(ctx context.Context, c *cluster.Cluster, n *cluster.Node) []QueueSample {
	var out []QueueSample
	begun := time.Now()
	for pause.For(ctx, sampleEvery) {
		r, err := c.Statement(ctx, n, "queued by tier", "")
		if err != nil {
			continue
		}
		s := QueueSample{Seconds: time.Since(begun).Seconds(), Tiers: map[int]int{}}
		for _, row := range r.Rows {
			if tier, err := strconv.Atoi(row.Name); err == nil {
				s.Tiers[tier] = row.Count
			}
		}
		out = append(out, s)
	}
	return out
}

// Plot draws a run: attainment over time by class, and queue length by tier.
func Plot(dir, name string, r *Result) error {
	if err := drawLines(filepath.Join(dir, name+"-attainment.svg"), name+": attainment by class", "share on time", attainmentLines(r.Report.Sent)); err != nil {
		return err
	}
	return drawLines(filepath.Join(dir, name+"-queue.svg"), name+": queue length by tier", "requests", queueLines(r.Queue))
}

// attainmentLines gives the share on time of the requests sent in each second.
func attainmentLines(sent []record.Attempt) map[string]plotter.XYs {
	type count struct{ onTime, all float64 }
	if len(sent) == 0 {
		return nil
	}
	first := sent[0].SentMs
	for _, s := range sent {
		first = min(first, s.SentMs)
	}
	bins := map[string]map[int]*count{}
	for _, s := range sent {
		second := int((s.SentMs - first) / 1000)
		if bins[s.Class] == nil {
			bins[s.Class] = map[int]*count{}
		}
		if bins[s.Class][second] == nil {
			bins[s.Class][second] = &count{}
		}
		bins[s.Class][second].all++
		if s.OnTime {
			bins[s.Class][second].onTime++
		}
	}
	out := map[string]plotter.XYs{}
	for class, byTime := range bins {
		for second, c := range byTime {
			out[class] = append(out[class], plotter.XY{X: float64(second), Y: c.onTime / c.all})
		}
		sort.Slice(out[class], func(i, j int) bool { return out[class][i].X < out[class][j].X })
	}
	return out
}

// queueLines gives the queue's length by tier.
func queueLines(samples []QueueSample) map[string]plotter.XYs {
	tiers := map[int]bool{}
	for _, s := range samples {
		for t := range s.Tiers {
			tiers[t] = true
		}
	}
	out := map[string]plotter.XYs{}
	for t := range tiers {
		name := fmt.Sprint("tier ", t)
		for _, s := range samples {
			out[name] = append(out[name], plotter.XY{X: s.Seconds, Y: float64(s.Tiers[t])})
		}
	}
	return out
}

// drawLines draws lines by name into an SVG file.
func drawLines(path, title, unit string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return fmt.Errorf("draw %s: %w", name, err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
