// Command croftctl is the operators' command-line client. It sends statements of the
// query and command language, and configuration files, to a node.
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
	// options holds the flags shared by all subcommands.
	options struct {
		address string
		token   string
		json    bool
	}

	// command is one subcommand.
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
	{name: "history", synopsis: "list accepted changes", usage: "history [after VERSION]\n", run: runPrefixed("history")},
	{name: "rollback", synopsis: "take back changes", usage: "rollback to VERSION\n", run: runPrefixed("rollback")},
	{name: "explain", synopsis: "tell why a request went as it did", usage: "explain REQUEST\n", run: runPrefixed("explain")},
	{name: "duties", synopsis: "show who reports usage and orders engines, the newest windows and orders, at a node on the users' platform", usage: "duties\n", run: runPrefixed("duties")},
	{name: "store", synopsis: "show the era and the positions at which a node on the users' platform has read the store, and what it keeps of earlier eras", usage: "store\n", run: runPrefixed("store")},
	{name: "evacuations", synopsis: "list the halls that are evacuated, since when, and what still runs there, at a node on the users' platform", usage: "evacuations\n", run: runPrefixed("evacuations")},
	{name: "held", synopsis: "list requests and prompt parts that are kept from engines, since engines crashed under them", usage: "held\n", run: runPrefixed("held")},
	{name: "release", synopsis: "let one of them reach engines again, at all nodes", usage: "release ID\n", run: runPrefixed("release")},
	{name: "statements", synopsis: "list the statements with examples", usage: "statements\n", run: listStatements},
}

// Name returns the subcommand's name.
func (c *command) Name() string { return c.name }

// Synopsis returns a one-line description of the subcommand.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the usage text of the subcommand.
func (c *command) Usage() string { return c.usage }

// SetFlags adds the shared flags, with defaults from the environment.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.address, "address", os.Getenv("CROFTTURN_ADMIN"), "administration address of a node, IP:port")
	f.StringVar(&c.opts.token, "token", os.Getenv("CROFTTURN_TOKEN"), "operator's token")
	f.BoolVar(&c.opts.json, "json", false, "print JSON instead of a table")
}

// Execute runs the subcommand and prints its error to stderr.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx, newClient(c.opts), f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// main runs the subcommand named on the command line.
func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// listStatements prints the help for all statements.
func listStatements(context.Context, *client, []string) error {
	fmt.Print(lang.Help())
	return nil
}
