// Command lab holds the stand-ins of the outside systems and the load tool. It
// is not shipped.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/croftturn/croftturn/lab/engine"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/record"
	"github.com/croftturn/croftturn/lab/service"
)

type (
	// command is one subcommand; flags sets its flags and returns what it does.
	command struct {
		name, synopsis string
		flags          func(f *flag.FlagSet) func(ctx context.Context) error
		run            func(ctx context.Context) error
	}
)

// commands lists the subcommands.
var commands = []*command{
	{name: "engine", synopsis: "stand-in of a model engine", flags: engineFlags},
	{name: "service", synopsis: "stand-in of a plain backend server", flags: serviceFlags},
	{name: "platform", synopsis: "stand-in of the platform", flags: platformFlags},
	{name: "demo", synopsis: "start everything, send a burst, run queries, stop", flags: demoFlags},
	{name: "bench", synopsis: "compare the ways of deciding on the same traces", flags: benchFlags},
	{name: "once", synopsis: "measure what claims and tickets cost", flags: onceFlags},
	{name: "losses", synopsis: "tell from nodes' log lines what callers did not get", flags: lossesFlags},
	{name: "plays", synopsis: "list the recorded scores, hunts and sweeps by site", flags: playsFlags},
	{name: "slopes", synopsis: "measure how the cost of a node grows", flags: slopesFlags},
}

// Name returns the subcommand's name.
func (c *command) Name() string { return c.name }

// Synopsis returns what the subcommand is for.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns how to call the subcommand.
func (c *command) Usage() string { return c.name + " [FLAGS]\n" }

// SetFlags sets the subcommand's flags.
func (c *command) SetFlags(f *flag.FlagSet) { c.run = c.flags(f) }

// Execute runs the subcommand and prints its error.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// main runs the subcommand that the command line names.
func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// serve serves HTTP until the context ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.ListenAndServe(); err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// engineFlags sets the flags of the engine.
func engineFlags(f *flag.FlagSet) func(ctx context.Context) error {
	var o engine.Options
	listen := f.String("listen", "127.0.0.1:0", "IP:port")
	log := f.String("log", "", "file for executions")
	f.StringVar(&o.Name, "name", "e1", "name")
	f.IntVar(&o.Slots, "slots", 16, "largest batch")
	f.IntVar(&o.KVTokens, "kv", 0, "room for tokens; 0 for no bound")
	f.IntVar(&o.QueueLimit, "queue", 8, "how many may wait")
	f.DurationVar(&o.StepBase, "step-base", 10*time.Millisecond, "time of an empty step")
	f.DurationVar(&o.StepEach, "step-each", time.Millisecond, "what each request adds to a step")
	f.DurationVar(&o.PrefillToken, "prefill", 20*time.Microsecond, "time for one token of a prompt")
	f.DurationVar(&o.LoadLag, "lag", 500*time.Millisecond, "age of the load report")
	f.BoolVar(&o.ChecksFence, "checks-fence", false, "refuse orders with an old fence")
	return func(ctx context.Context) error {
		l, err := record.OpenLog(*log)
		if err != nil {
			return err
		}
		e := engine.New(o, l)
		go e.Run(ctx)
		return serve(ctx, *listen, e.Handler())
	}
}

// serviceFlags sets the flags of the service.
func serviceFlags(f *flag.FlagSet) func(ctx context.Context) error {
	var o service.Options
	listen := f.String("listen", "127.0.0.1:0", "IP:port")
	log := f.String("log", "", "file for executions")
	f.StringVar(&o.Name, "name", "s1", "name")
	f.IntVar(&o.Slots, "slots", 64, "calls at once")
	f.DurationVar(&o.Delay, "delay", 5*time.Millisecond, "time of a call")
	return func(ctx context.Context) error {
		l, err := record.OpenLog(*log)
		if err != nil {
			return err
		}
		return serve(ctx, *listen, service.New(o, l).Handler())
	}
}

// platformFlags sets the flags of the platform.
func platformFlags(f *flag.FlagSet) func(ctx context.Context) error {
	listen := f.String("listen", "127.0.0.1:0", "IP:port")
	reads := f.Float64("reads", 2000, "reads a second")
	writes := f.Float64("writes", 400, "transactions a second")
	return func(ctx context.Context) error {
		return serve(ctx, *listen, platform.New(*reads, *writes).Handler())
	}
}
