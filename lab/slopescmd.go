package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/croftturn/croftturn/lab/slopes"
)

// slopesFlags sets the flags of the measurement of slopes.
func slopesFlags(f *flag.FlagSet) func(ctx context.Context) error {
	out := f.String("json", "docs/capacity.json", "file for the raw results")
	each := f.Duration("each", 8*time.Second, "how long one point is measured")
	only := f.String("only", "", "the one series to measure, by what it varies")
	return func(ctx context.Context) error {
		series, err := slopes.Run(ctx, slopes.Options{Members: []int{3, 6, 12, 24, 48}, Each: *each, Only: *only, Log: os.Stderr})
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "VARIED\tMEASURE\tSLOPE\tAT 0\tUNIT\tR2\tRANGE")
		for _, s := range series {
			for _, f := range s.Fits {
				fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%s\t%.3f\t%.0f-%.0f\n", s.Varied, f.Name, f.Slope, f.Intercept, f.Unit, f.R2, f.From, f.To)
			}
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("print slopes: %w", err)
		}
		text, err := json.MarshalIndent(series, "", " ")
		if err != nil {
			return fmt.Errorf("encode slopes: %w", err)
		}
		return os.WriteFile(*out, append(text, '\n'), 0o644)
	}
}
