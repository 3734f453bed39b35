// Command merlinarch-rehearse runs rehearsals: it simulates incidents in virtual time, or plays them against routers of
// this build on loopback. It is a separate program, since its libraries would double the memory of an idle router;
// `merlinarch rehearse` starts it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"merlinarch/internal/rehearsal"
	"merlinarch/internal/rehearsal/chart"
	"merlinarch/internal/rehearsal/live"
	"merlinarch/internal/rehearsal/script"
	"merlinarch/internal/template/jsonnet"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // a rehearsal could not be run or written, or compared reports differ
	exitBadCall = 2 // the command line or a script is invalid; nothing was run
)

// failure marks an error that the caller's input did not cause; it leads to exit code 1.
type failure struct{ error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "merlinarch rehearse", Short: "Rehearse an incident on one machine", SilenceUsage: true,
		SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		Long: `Run a script of traffic, releases and troubles, and report the results. docs/rehearsal.md describes the model.`}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetArgs(args)
	root.AddCommand(checkCommand(), runCommand(), liveCommand(), sweepCommand(), compareCommand(), settingsCommand())
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errOut, "merlinarch rehearse: %v\n", err)
	if errors.As(err, new(failure)) {
		return exitFailed
	}
	return exitBadCall
}

// options holds the flags that override a script and those that name the output files.
type options struct {
	seed                int64
	routers, hosts      int
	policy              string
	reportFile, plotDir string
}

// register adds the flags that override a script.
func (o *options) register(c *cobra.Command) {
	c.Flags().Int64Var(&o.seed, "seed", -1, "the random seed; the default is the script's")
	c.Flags().IntVar(&o.routers, "routers", 0, "number of routers; the default is the script's")
	c.Flags().IntVar(&o.hosts, "hosts", 0, "number of hosts; the default is the script's")
	c.Flags().StringVar(&o.policy, "policy", "", "decision policy: "+strings.Join(script.Policies, ", "))
}

// registerOutputs adds the flags that name the output files.
func (o *options) registerOutputs(c *cobra.Command) {
	c.Flags().StringVar(&o.reportFile, "json", "", "write the report to `FILE`")
	c.Flags().StringVar(&o.plotDir, "plot", "", "write plots into `DIR`")
}

// load reads a script and applies the overrides of a sweep and of the command line; the latter win.
func (o options) load(path string, swept map[string]any) (script.Script, error) {
	overrides := map[string]any{}
	for name, v := range swept {
		overrides[name] = v
	}
	if o.seed >= 0 {
		overrides["seed"] = float64(o.seed)
	}
	if o.routers > 0 {
		overrides["routers.count"] = float64(o.routers)
	}
	if o.hosts > 0 {
		overrides["hosts.count"] = float64(o.hosts)
	}
	if o.policy != "" {
		overrides["routers.policy"] = o.policy
	}
	return script.Load(path, overrides)
}

// printReport prints a rehearsal's report and writes the output files.
func (o options) printReport(c *cobra.Command, r rehearsal.Report) error {
	for _, line := range r.Lines() {
		fmt.Fprintln(c.OutOrStdout(), line)
	}
	return o.writeFiles(c, r, func() (string, error) { return chart.Timeline(r, o.plotDir) })
}

// writeFiles writes the plot and the JSON report that the command line asks for.
func (o options) writeFiles(c *cobra.Command, report any, plot func() (string, error)) error {
	if o.plotDir != "" {
		if err := os.MkdirAll(o.plotDir, 0o755); err != nil {
			return failure{err}
		}
		path, err := plot()
		if err != nil {
			return failure{err}
		}
		fmt.Fprintln(c.OutOrStdout(), "plot:", path)
	}
	if o.reportFile != "" {
		if err := rehearsal.WriteFile(o.reportFile, report); err != nil {
			return failure{err}
		}
	}
	return nil
}

// newProgressBar returns a progress bar on standard error. It shows nothing unless that is a terminal.
func newProgressBar(total int, description string) *progressbar.ProgressBar {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return progressbar.DefaultSilent(int64(total))
	}
	return progressbar.NewOptions(total, progressbar.OptionSetDescription(description), progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionClearOnFinish(), progressbar.OptionShowElapsedTimeOnFinish())
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check SCRIPT", Short: "Validate a script", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := script.Load(args[0], nil)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "script is good: %s, %v, %d routers, %d hosts, %g requests a second, %d releases, %d troubles\n",
				s.Name, s.Length, s.Routers.Count, s.Hosts.Count, s.Clients.Rate, len(s.Releases), len(s.Troubles))
			return nil
		}}
}

func runCommand() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "run SCRIPT", Short: "Simulate a script in virtual time", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.load(args[0], nil)
			if err != nil {
				return err
			}
			b := newProgressBar(1000, s.Name)
			r, err := rehearsal.Run(s, func(done float64) { _ = b.Set(int(1000 * done)) })
			if err != nil {
				return failure{err}
			}
			_ = b.Finish()
			return o.printReport(c, r)
		}}
	o.register(c)
	o.registerOutputs(c)
	return c
}

func liveCommand() *cobra.Command {
	var o options
	var dir string
	c := &cobra.Command{Use: "live SCRIPT", Short: "Play a script against routers of this build on loopback", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.load(args[0], nil)
			if err != nil {
				return err
			}
			if err := live.Check(s); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			own, err := os.Executable()
			if err != nil {
				return failure{err}
			}
			if dir == "" {
				if dir, err = os.MkdirTemp("", "rehearsal-"); err != nil {
					return failure{err}
				}
				defer os.RemoveAll(dir)
			} else if err := os.MkdirAll(dir, 0o755); err != nil {
				return failure{err}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			b := newProgressBar(1000, s.Name)
			r, err := live.Run(ctx, s, live.Options{Binary: filepath.Join(filepath.Dir(own), "merlinarch"), Dir: dir,
				Progress: func(done float64) { _ = b.Set(int(1000 * done)) }})
			if err != nil {
				return failure{err}
			}
			_ = b.Finish()
			return o.printReport(c, r)
		}}
	o.register(c)
	o.registerOutputs(c)
	c.Flags().StringVar(&dir, "logs", "", "keep the logs and configurations of the routers in `DIR`")
	return c
}

func sweepCommand() *cobra.Command {
	var o options
	var set, seeds string
	c := &cobra.Command{Use: "sweep SCRIPT --set path=a,b,c --seeds 1-8", Args: cobra.ExactArgs(1),
		Short: "Simulate a script with several values of one field, over several seeds",
		RunE: func(c *cobra.Command, args []string) error {
			path, text, ok := strings.Cut(set, "=")
			if !ok || path == "" || text == "" {
				return errors.New("--set: expected path=value,value")
			}
			seedList, err := parseSeeds(seeds)
			if err != nil {
				return err
			}
			values := strings.Split(text, ",")
			b := newProgressBar(len(values)*len(seedList), set)
			s, err := rehearsal.RunSweep(func(sets map[string]any) (script.Script, error) { return o.load(args[0], sets) },
				path, values, seedList, func() { _ = b.Add(1) })
			if err != nil {
				return err
			}
			_ = b.Finish()
			return o.printSweep(c, s)
		}}
	c.Flags().StringVar(&set, "set", "", "the field and its values, for example clients.rate=200,300")
	c.Flags().StringVar(&seeds, "seeds", "1-8", "the first and the last seed, as FIRST-LAST")
	o.register(c)
	o.registerOutputs(c)
	return c
}

// parseSeeds reads one seed, or a range of seeds such as 1-8.
func parseSeeds(text string) ([]uint64, error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	a, err1 := strconv.ParseUint(first, 10, 32)
	b, err2 := strconv.ParseUint(last, 10, 32)
	if err1 != nil || err2 != nil || b < a || b-a >= 10000 {
		return nil, fmt.Errorf("--seeds: expected a range such as 1-8 of at most 10000 seeds, got %q", text)
	}
	var out []uint64
	for s := a; s <= b; s++ {
		out = append(out, s)
	}
	return out, nil
}

// printSweep prints one line for each value of a sweep and writes the output files.
func (o options) printSweep(c *cobra.Command, s rehearsal.Sweep) error {
	w := c.OutOrStdout()
	fmt.Fprintf(w, "%s over %s (emulated)\n", s.Script, s.Path)
	for _, p := range s.Points {
		fmt.Fprintf(w, "%12s  service mean %.3f, least %.3f, p10 %.3f, median %.3f; worst window median %.3f; rules broken %d",
			p.Value, p.Service.Mean, p.Service.Least, p.Service.P10, p.Service.Median, p.Worst.Median, p.Rules.Broken())
		if p.BackS != nil {
			fmt.Fprintf(w, "; sent back in %d of %d, after p10 %.1f, median %.1f, p90 %.1f s", p.Back, len(p.Plays), p.BackS.P10,
				p.BackS.Median, p.BackS.P90)
		}
		fmt.Fprintln(w)
	}
	return o.writeFiles(c, s, func() (string, error) { return chart.Sweep(s, o.plotDir) })
}

func compareCommand() *cobra.Command {
	var within float64
	c := &cobra.Command{Use: "compare A.json B.json", Short: "Show the differences of two reports", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var r [2]rehearsal.Report
			for i, path := range args {
				data, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(data, &r[i]); err != nil {
					return fmt.Errorf("%s: not a report: %w", path, err)
				}
				if r[i].Outcomes == "" {
					return fmt.Errorf("%s: not a report: no outcomes_sha256", path)
				}
			}
			w := c.OutOrStdout()
			verdict := "the same outcomes, each at the same time"
			if r[0].Outcomes != r[1].Outcomes {
				verdict = "other outcomes"
			}
			fmt.Fprintf(w, "%s and %s: %s\n", args[0], args[1], verdict)
			row := func(name string, a, b float64) { fmt.Fprintf(w, "%-24s %10.4f %10.4f %+10.4f\n", name, a, b, b-a) }
			row("service", r[0].Service, r[1].Service)
			row("whole", r[0].Whole, r[1].Whole)
			row("worst window", r[0].Worst, r[1].Worst)
			row("requests", float64(r[0].Requests), float64(r[1].Requests))
			for _, end := range []string{"served", "refused", "failed", "abandoned", "open"} {
				row(end, float64(r[0].Ends[end]), float64(r[1].Ends[end]))
			}
			row("rules broken", float64(r[0].Rules.Broken()), float64(r[1].Rules.Broken()))
			row("waste", r[0].Waste, r[1].Waste)
			for i := range min(len(r[0].Classes), len(r[1].Classes)) {
				a, b := r[0].Classes[i], r[1].Classes[i]
				row(a.Name+" p50 ms", a.P50ms, b.P50ms)
				row(a.Name+" p99 ms", a.P99ms, b.P99ms)
			}
			if d := r[1].Service - r[0].Service; within >= 0 && (d > within || -d > within) {
				return failure{fmt.Errorf("service differs by %.4f, more than %g", d, within)}
			}
			return nil
		}}
	c.Flags().Float64Var(&within, "within", -1, "exit with code 1 if service differs by more than this")
	return c
}

// settingsCommand evaluates a settings template for a router, which does not link the Jsonnet library.
func settingsCommand() *cobra.Command {
	return &cobra.Command{Use: "settings FILE", Short: "Print a settings template as plain JSON", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := jsonnet.Evaluate(args[0])
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), text)
			return nil
		}}
}
