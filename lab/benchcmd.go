package main

import (
	"context"
	"encoding/json"
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
	return func(ctx context.Context) error {
		w, err := load.Read(*workload)
		if err != nil {
			return err
		}
		o.Workload, o.Policies, o.Faults = w, strings.Split(*policies, ","), strings.Split(*faults, ",")
		results, err := bench.Run(ctx, o)
		fmt.Println("workload", w.Name)
		bench.Print(os.Stdout, results)
		if err != nil || *out == "" {
			return err
		}
		text, err := json.MarshalIndent(results, "", " ")
		if err != nil {
			return fmt.Errorf("encode results: %w", err)
		}
		return os.WriteFile(*out, text, 0o644)
	}
}
