package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/croftturn/croftturn/lab/losses"
)

// lossesFlags returns the command that reads nodes' log lines from standard input and prints
// what callers did not get.
func lossesFlags(*flag.FlagSet) func(context.Context) error {
	return func(context.Context) error {
		endings, err := losses.Read(os.Stdin)
		if err != nil {
			return fmt.Errorf("losses: %w", err)
		}
		if err := losses.Write(os.Stdout, endings); err != nil {
			return fmt.Errorf("losses: %w", err)
		}
		return nil
	}
}
