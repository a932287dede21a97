// Command croftturn runs a node. A node accepts requests, schedules them on engines in
// coordination with the other nodes, and relays the responses.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/croftturn/croftturn/internal/edge"
	"github.com/croftturn/croftturn/internal/hangup"
	"github.com/croftturn/croftturn/internal/node"
	"github.com/croftturn/croftturn/internal/settings"
)

const (
	// version is the product's version.
	version = "0.1.0"

	// settingsEnv is the environment variable with the default settings file.
	settingsEnv = "CROFTTURN_SETTINGS"
)

// command is one subcommand.
type command struct {
	name, synopsis, usage string
	run                   func(ctx context.Context, args []string) error
}

// commands lists the subcommands.
var commands = []command{
	{"run", "run the node", "run SETTINGS-FILE\n", runNode},
	{"edge", "run the node on the users' platform", "edge [SETTINGS-FILE]\nThe file is that of $CROFTTURN_SETTINGS if none is named.\n", runEdge},
	{"check", "check a settings file", "check SETTINGS-FILE\n", checkSettings},
	{"version", "print the version", "version\n", printVersion},
}

// Name returns the subcommand's name.
func (c *command) Name() string { return c.name }

// Synopsis returns a one-line description of the subcommand.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the usage text of the subcommand.
func (c *command) Usage() string { return c.usage }

// SetFlags does nothing: the subcommands have no flags.
func (c *command) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand and prints its error to stderr.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx, f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// main runs the subcommand named on the command line.
func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for i := range commands {
		subcommands.Register(&commands[i], "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// loadSettings reads the settings file named by the only argument.
func loadSettings(args []string) (*settings.Settings, error) {
	if len(args) != 1 {
		return nil, fmt.Errorf("want one settings file, got %d arguments", len(args))
	}
	return settings.Load(args[0])
}

// runNode runs a node until the context ends.
func runNode(ctx context.Context, args []string) error {
	s, err := loadSettings(args)
	if err != nil {
		return err
	}
	n, err := node.Start(context.WithoutCancel(ctx), s, os.Stdout)
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	for {
		select {
		case <-ctx.Done():
			return n.Close()
		case err := <-n.Failed():
			return errors.Join(err, n.Close())
		case <-hangup.Received():
			n.HangUp()
		}
	}
}

// runEdge runs a node on the users' platform until the context ends, and reloads the
// settings on SIGHUP.
func runEdge(ctx context.Context, args []string) error {
	if len(args) == 0 {
		args = []string{os.Getenv(settingsEnv)}
	}
	s, err := loadSettings(args)
	if err != nil {
		return err
	}
	e, err := edge.Start(context.WithoutCancel(ctx), s, os.Stdout)
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	go reloadOnHangUp(ctx, e, args) // Not waited for: a file that is slow to read must not delay the stop.
	select {
	case <-ctx.Done():
		return e.Close()
	case err := <-e.Failed():
		return errors.Join(err, e.Close())
	}
}

// reloadOnHangUp reloads the settings on each SIGHUP until the context ends.
func reloadOnHangUp(ctx context.Context, e *edge.Edge, args []string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Received():
			e.Reload(func() (*settings.Settings, error) { return loadSettings(args) })
		}
	}
}

// checkSettings validates a settings file.
func checkSettings(_ context.Context, args []string) error {
	if _, err := loadSettings(args); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

// printVersion prints the version.
func printVersion(context.Context, []string) error {
	fmt.Println("croftturn", version)
	return nil
}
