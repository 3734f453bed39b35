// Command merlinarch-registrar is one of the three or five processes that keep the agreed record. It is a program of its
// own, since what it links would take a third more of a router's memory at rest; `merlinarch registrar` starts it.
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
	exitFailed  = 1 // it could not run, or can't go on
	exitBadCall = 2 // the command line or the settings are wrong
	exitReplace = 3 // its disk is not what the others saw, or is lost or spoilt, or it was replaced: starting it again does not help
)

// failure is an error that is not the caller's.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "merlinarch registrar", Short: "Keep the agreed record", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		Long: `Keep the rules that all dispatchers agree on, with two or four other registrars. docs/accord.md tells how, and
docs/oncall.md what to do when one is lost.`}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetArgs(args)
	root.AddCommand(initCommand(), joinCommand(), runCommand())
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errOut, "merlinarch registrar: %v\n", err)
	for _, e := range []error{registrar.ErrLost, registrar.ErrRemoved, registrar.ErrNoDisk, registrar.ErrSpoilt} {
		if errors.Is(err, e) {
			return exitReplace
		}
	}
	if errors.As(err, new(failure)) {
		return exitFailed
	}
	return exitBadCall
}

// options are the flags of all commands.
type options struct{ settings, name, dir, level string }

func (o *options) register(c *cobra.Command) {
	c.Flags().StringVar(&o.settings, "settings", "", "`FILE` of settings; its part accord counts")
	c.Flags().StringVar(&o.name, "name", "", "this registrar's name in the settings")
	c.Flags().StringVar(&o.dir, "dir", ".", "`DIR` that keeps its record; it has to last")
	c.Flags().StringVar(&o.level, "log-level", "info", "debug, info, warn or error")
	c.MarkFlagRequired("settings")
	c.MarkFlagRequired("name")
}

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
		Budget: cordon.Budget{Share: a.Budget}, Cold: a.ColdTime, Planned: a.ScheduleSettings(),
		Unix: func() time.Time { return time.Now().Add(a.ClockStep) }, Clock: accord.Clock{Rate: a.ClockRate},
		Auto: cordon.AutoPolicy{MinDispatchers: a.Auto.MinAgreeing, MaxCordons: a.Auto.MaxCordons, ErrorShare: a.Auto.ErrorShare, MinAnswers: a.Auto.MinAnswers}}, nil
}

func initCommand() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "init", Short: "Make the disk of one of the registrars that a cluster begins with, once", Args: cobra.NoArgs,
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
	c := &cobra.Command{Use: "join", Short: "Make a new disk, and take the place of the registrar of this name, or a new one", Args: cobra.NoArgs,
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
	c.Flags().DurationVar(&timeout, "patience", 30*time.Second, "how long to ask for it")
	return c
}

func runCommand() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "run", Short: "Keep the record until SIGTERM", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
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
