package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/croftturn/croftturn/lab/check"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/record"
)

// demoStop bounds the stop of one node.
const demoStop = 20 * time.Second

// demoFlags sets the flags of the demonstration.
func demoFlags(f *flag.FlagSet) func(ctx context.Context) error {
	seed := f.Uint64("seed", 1, "seed of the trace")
	return func(ctx context.Context) error { return demo(ctx, *seed) }
}

// demoWorkload is a mixed burst for the demonstration's configuration.
func demoWorkload() *load.Workload {
	return &load.Workload{
		Name: "demo", DurationMs: 8000,
		Teams: []load.Team{{Name: "alfa", Token: "alfa-token", Share: 3}, {Name: "bravo", Token: "bravo-token", Share: 1}, {Name: "charlie", Token: "charlie-token", Share: 1}},
		Classes: []load.ClassLoad{
			{Class: "confirm", Tier: 1, Model: "desk-1", Rate: 10, BurstRate: 60, BurstFromMs: 2000, BurstToMs: 4000, Tokens: 12, TokensSpread: 0.3, PromptWords: 50, TargetFirstMs: 380},
			{Class: "offer", Tier: 2, Model: "desk-1", Once: true, Rate: 4, Tokens: 60, TokensSpread: 0.5, PromptWords: 100, TargetFirstMs: 2000},
			{Class: "explain", Tier: 3, Model: "desk-1", Rate: 3, Tokens: 120, TokensSpread: 0.6, PromptWords: 100, TargetFirstMs: 5000},
			{Class: "submit", Tier: 1, Service: "bids", Once: true, Rate: 10, TargetTotalMs: 500},
		},
	}
}

// demo starts everything, sends a burst, runs two queries and stops all.
func demo(ctx context.Context, seed uint64) error {
	dir, err := os.MkdirTemp("", "croftturn-demo")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer os.RemoveAll(dir)
	c, err := cluster.Start(ctx, cluster.Options{
		Nodes: 3, Engines: 3, Services: 2, Slots: 8, Queue: 4, StepBase: 10 * time.Millisecond, StepEach: time.Millisecond, Dir: dir,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	report := load.Run(ctx, demoWorkload().Trace(seed), load.Options{Nodes: c.CallerAddresses(), Log: &record.Log{}})
	report.Print(os.Stdout)
	for _, text := range []string{"completed by class", "engines"} {
		if err := croftctl(ctx, c, text); err != nil {
			return err
		}
	}
	for _, n := range c.Nodes {
		if err := n.Stop(demoStop); err != nil {
			return fmt.Errorf("stop %s: %w", n.Name, err)
		}
	}
	return verdict(c, report)
}

// croftctl runs the operators' program on a statement and shows what it prints.
func croftctl(ctx context.Context, c *cluster.Cluster, text string) error {
	dir, err := cluster.Build()
	if err != nil {
		return err
	}
	fmt.Println("\n$ croftctl query", "'"+text+"'")
	cmd := exec.CommandContext(ctx, filepath.Join(dir, "croftctl"), "query", "-address", c.Nodes[1].Admin, "-token", cluster.OperatorToken, text)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("croftctl: %w", err)
	}
	return nil
}

// verdict fails where an answer is missing or wrong.
func verdict(c *cluster.Cluster, report *load.Report) error {
	executed, err := record.Read[record.Execution](c.ExecutionsLog())
	if err != nil {
		return err
	}
	var errs []error
	for _, v := range check.Run(report.Sent, executed) {
		errs = append(errs, errors.New(v.String()))
	}
	for _, cl := range report.Classes {
		if cl.Errors+cl.Unknown+cl.Faults > 0 {
			errs = append(errs, fmt.Errorf("class %s: %d errors, %d unknown, %d wrong", cl.Class, cl.Errors, cl.Unknown, cl.Faults))
		}
	}
	if len(errs) == 0 {
		fmt.Println("\nall answers whole and right; no invariant broken")
	}
	return errors.Join(errs...)
}
