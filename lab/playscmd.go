package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/croftturn/croftturn/lab/plays"
)

// playsFlags returns the command that prints the index of the recorded plays.
func playsFlags(f *flag.FlagSet) func(context.Context) error {
	dir := f.String("dir", "journal", "folder of the recorded plays")
	return func(context.Context) error {
		all, err := plays.Read(*dir)
		if err != nil {
			return fmt.Errorf("plays: %w", err)
		}
		if err := plays.Write(os.Stdout, all); err != nil {
			return fmt.Errorf("plays: %w", err)
		}
		return nil
	}
}
