// Command croftctl is the operators' program: it sends statements of the query
// and command language, and whole configurations, to a node.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/croftturn/croftturn/internal/lang"
)

type (
	// options are the flags that all subcommands share.
	options struct {
		address string
		token   string
		json    bool
	}

	// command is one subcommand: a name, what it is for, and what it does.
	command struct {
		name, synopsis, usage string
		run                   func(ctx context.Context, c *client, args []string) error
		opts                  options
	}
)

// commands lists the subcommands.
var commands = []*command{
	{name: "query", synopsis: "ask what runs, waits and was refused", usage: "query 'STATEMENT'\n", run: runStatement},
	{name: "do", synopsis: "change the configuration", usage: "do 'STATEMENT'\n", run: runStatement},
	{name: "apply", synopsis: "replace the configuration by a file", usage: "apply FILE\n", run: runApply},
	{name: "history", synopsis: "list accepted changes", usage: "history [after VERSION]\n", run: prefixed("history")},
	{name: "rollback", synopsis: "take back changes", usage: "rollback to VERSION\n", run: prefixed("rollback")},
	{name: "explain", synopsis: "tell why a request went as it did", usage: "explain REQUEST\n", run: prefixed("explain")},
	{name: "duties", synopsis: "show who reports usage and orders engines, the newest windows and orders, at a node on the users' platform", usage: "duties\n", run: prefixed("duties")},
	{name: "evacuations", synopsis: "list the halls that are evacuated, since when, and what still runs there, at a node on the users' platform", usage: "evacuations\n", run: prefixed("evacuations")},
	{name: "held", synopsis: "list requests that are kept from engines, at a node on the users' platform", usage: "held\n", run: prefixed("held")},
	{name: "release", synopsis: "let one of them reach engines again, at all nodes", usage: "release FINGERPRINT\n", run: prefixed("release")},
	{name: "statements", synopsis: "list the statements with examples", usage: "statements\n", run: listStatements},
}

// Name returns the subcommand's name.
func (c *command) Name() string { return c.name }

// Synopsis returns what the subcommand is for.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns how to call the subcommand.
func (c *command) Usage() string { return c.usage }

// SetFlags adds the shared flags; the environment gives their defaults.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.address, "address", os.Getenv("CROFTTURN_ADMIN"), "administration address of a node, IP:port")
	f.StringVar(&c.opts.token, "token", os.Getenv("CROFTTURN_TOKEN"), "operator's token")
	f.BoolVar(&c.opts.json, "json", false, "print JSON instead of a table")
}

// Execute runs the subcommand and prints its error.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx, newClient(c.opts), f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// main runs the subcommand that the command line names.
func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// listStatements prints the table of statements.
func listStatements(context.Context, *client, []string) error {
	fmt.Print(lang.Help())
	return nil
}
