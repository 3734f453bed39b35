// Command merlinarch-registrar is a registrar: one of the three or five members of the Raft group that replicates the
// configuration. It is a separate program, since the libraries that it links would add a third to the memory of an idle
// router; `merlinarch registrar` starts it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/features"
	"merlinarch/internal/logging"
	"merlinarch/internal/registrar"
	"merlinarch/internal/template/jsonnet"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // the registrar could not start or had to stop
	exitBadCall = 2 // the command line or the settings are invalid
	exitReplace = 3 // its store is older than the other members know, missing or corrupt, or it was replaced: a restart does not help
)

// failure marks an error that the caller's input did not cause; it leads to exit code 1.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "merlinarch registrar", Short: "Run a member of the Raft group that replicates the rules", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		Long: `Replicate the rules that all dispatchers follow, together with two or four other registrars. docs/accord.md describes
how, and docs/oncall.md what to do when a registrar is lost.`}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetArgs(args)
	root.AddCommand(initCommand(), joinCommand(), runCommand())
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errOut, "merlinarch registrar: %v\n", err)
	for _, e := range []error{registrar.ErrStaleStore, registrar.ErrRemoved, registrar.ErrNoStore, registrar.ErrCorrupt} {
		if errors.Is(err, e) {
			return exitReplace
		}
	}
	if errors.As(err, new(failure)) {
		return exitFailed
	}
	return exitBadCall
}

// options holds the flags that all commands have.
type options struct{ settings, name, dir, level string }

// register adds the flags to a command.
func (o *options) register(c *cobra.Command) {
	c.Flags().StringVar(&o.settings, "settings", "", "`FILE` of settings; its section accord is used")
	c.Flags().StringVar(&o.name, "name", "", "this registrar's name in the settings")
	c.Flags().StringVar(&o.dir, "dir", ".", "`DIR` of its store; it has to be on persistent storage")
	c.Flags().StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
	c.MarkFlagRequired("settings")
	c.MarkFlagRequired("name")
}

// load reads the settings and returns the options of the registrar.
func (o *options) load() (registrar.Options, error) {
	f, err := features.Load(o.settings, jsonnet.Load)
	if err != nil {
		return registrar.Options{}, err
	}
	a := f.Accord
	if !a.Enabled() {
		return registrar.Options{}, fmt.Errorf("%s: accord.cluster: expected a name", o.settings)
	}
	if _, ok := a.Registrars[o.name]; !ok {
		return registrar.Options{}, fmt.Errorf("%s: accord.registrars: expected one named %q", o.settings, o.name)
	}
	return registrar.Options{Cluster: a.Cluster, Name: o.name, Listen: a.Listen, Registrars: a.Registrars, Dir: o.dir, Terms: a.LeaseTerms(),
		Budget: cordon.Budget{Share: a.Budget}, SlowStart: a.ColdTime, Schedule: a.ScheduleSettings(),
		WallClock: func() time.Time { return time.Now().Add(a.ClockStep) }, Clock: accord.Clock{Rate: a.ClockRate},
		AutoCordon: cordon.AutoPolicy{MinAgreeing: a.Auto.MinAgreeing, MaxCordons: a.Auto.MaxCordons, ErrorShare: a.Auto.ErrorShare, MinAnswers: a.Auto.MinAnswers}}, nil
}

func initCommand() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "init", Short: "Create the store of one of the first registrars of a cluster, once", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := o.load()
			if err != nil {
				return err
			}
			if err := registrar.Init(r); err != nil {
				return failure{err}
			}
			fmt.Fprintf(c.OutOrStdout(), "made the disk of %s, of %d registrars\n", o.name, len(r.Registrars))
			return nil
		}}
	o.register(c)
	return c
}

func joinCommand() *cobra.Command {
	var o options
	var timeout time.Duration
	c := &cobra.Command{Use: "join", Short: "Create a new store and join the cluster, as a new registrar or in place of the one of this name", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := o.load()
			if err != nil {
				return err
			}
			ctx, stop := context.WithTimeout(context.Background(), timeout)
			defer stop()
			if err := registrar.Join(ctx, r); err != nil {
				return failure{err}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is one of the registrars now; start it\n", o.name)
			return nil
		}}
	o.register(c)
	c.Flags().DurationVar(&timeout, "patience", 30*time.Second, "how long to retry joining")
	return c
}

func runCommand() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "run", Short: "Run the registrar until SIGTERM", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		r, err := o.load()
		if err != nil {
			return err
		}
		log, err := logging.New(o.level)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		if err := registrar.Run(ctx, r, log); err != nil {
			return failure{err}
		}
		return nil
	}}
	o.register(c)
	return c
}
