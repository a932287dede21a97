package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/croftturn/croftturn/lab/bench"
	"github.com/croftturn/croftturn/lab/load"
)

// benchFlags sets the flags of the comparison.
func benchFlags(f *flag.FlagSet) func(ctx context.Context) error {
	o := bench.Options{Log: os.Stderr}
	workload := f.String("workload", "lab/workloads/ebrolan-confirm-burst.json", "file of the workload")
	policies := f.String("policies", "broker,direct,round_robin", "ways of deciding, with commas")
	faults := f.String("faults", bench.FaultNone, "faults, with commas: none, slow-engine, engine-crash, frozen-node, broker-killed")
	out := f.String("json", "", "file for the results")
	f.IntVar(&o.Seeds, "seeds", 5, "how many seeds")
	f.IntVar(&o.Engines, "engines", 9, "how many engines")
	f.IntVar(&o.Nodes, "nodes", 7, "how many nodes")
	f.StringVar(&o.Plots, "plots", "", "folder for a plot of each run")
	bounds := f.String("bounds", "", "file of bounds; the run fails where it is out of them")
	return func(ctx context.Context) error {
		w, err := load.Read(*workload)
		if err != nil {
			return err
		}
		o.Workload, o.Policies, o.Faults = w, strings.Split(*policies, ","), strings.Split(*faults, ",")
		results, err := bench.Run(ctx, o)
		fmt.Println("workload", w.Name)
		bench.Print(os.Stdout, results)
		if err != nil {
			return err
		}
		if *bounds != "" {
			if err := checkBounds(ctx, *bounds, results); err != nil {
				return err
			}
		}
		if *out == "" {
			return nil
		}
		text, err := json.MarshalIndent(results, "", " ")
		if err != nil {
			return fmt.Errorf("encode results: %w", err)
		}
		return os.WriteFile(*out, text, 0o644)
	}
}

// overheadRequests is how many requests each way the overhead is measured with.
const overheadRequests = 300

// checkBounds measures the overhead too and fails on what is out of bounds.
func checkBounds(ctx context.Context, path string, results []bench.Result) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read bounds: %w", err)
	}
	var b bench.Bounds
	if err := json.Unmarshal(text, &b); err != nil {
		return fmt.Errorf("decode bounds: %w", err)
	}
	o, err := bench.MeasureOverhead(ctx, overheadRequests)
	if err != nil {
		return fmt.Errorf("measure overhead: %w", err)
	}
	fmt.Printf("first token: straight p50 %.2f ms, p99 %.2f ms; through a node p50 %.2f ms, p99 %.2f ms\n", o.DirectP50, o.DirectP99, o.RoutedP50, o.RoutedP99)
	fmt.Printf("nodes' processor time: %.0f us a request, %.1f us a token; control %.0f B a request\n", o.CPURequest, o.CPUToken, o.Bytes)
	return errors.Join(append(b.Check(results), b.CheckOverhead(o)...)...)
}

// onceFlags sets the flags of the measurement of claims and tickets.
func onceFlags(f *flag.FlagSet) func(ctx context.Context) error {
	rate := f.Float64("rate", 200, "calls a second")
	return func(ctx context.Context) error { return bench.RunOnce(ctx, *rate, os.Stdout) }
}
