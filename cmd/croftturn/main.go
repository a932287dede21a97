// Command croftturn is the node: it takes callers' requests, decides together
// with the other nodes which engine takes each, and passes the answers back.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/croftturn/croftturn/internal/edge"
	"github.com/croftturn/croftturn/internal/node"
	"github.com/croftturn/croftturn/internal/settings"
)

const (
	// version is the product's version.
	version = "0.1.0"

	// settingsVariable names the settings file where the command line does not.
	settingsVariable = "CROFTTURN_SETTINGS"
)

// command is one subcommand: a name, what it is for, and what it does.
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

// Synopsis returns what the subcommand is for.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns how to call the subcommand.
func (c *command) Usage() string { return c.usage }

// SetFlags has no flags to set.
func (c *command) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand and prints its error.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx, f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// main runs the subcommand that the command line names.
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

// load reads the settings file that the arguments name.
func load(args []string) (*settings.Settings, error) {
	if len(args) != 1 {
		return nil, fmt.Errorf("want one settings file, got %d arguments", len(args))
	}
	return settings.Load(args[0])
}

// runNode runs the node until it is told to stop.
func runNode(ctx context.Context, args []string) error {
	s, err := load(args)
	if err != nil {
		return err
	}
	n, err := node.Start(context.WithoutCancel(ctx), s, os.Stdout)
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	<-ctx.Done()
	return n.Close()
}

// runEdge runs the node on the users' platform until it is told to stop.
func runEdge(ctx context.Context, args []string) error {
	if len(args) == 0 {
		args = []string{os.Getenv(settingsVariable)}
	}
	s, err := load(args)
	if err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	e, err := edge.Start(context.WithoutCancel(ctx), s, os.Stdout)
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	for {
		select {
		case <-ctx.Done():
			return e.Close()
		case <-reload:
			e.Reload(func() (*settings.Settings, error) { return load(args) })
		}
	}
}

// checkSettings reports what is wrong with a settings file.
func checkSettings(_ context.Context, args []string) error {
	if _, err := load(args); err != nil {
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
