package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/features"
)

// printAccord prints the mode, the staleness bound D and the expiry wait that the settings lead to.
func printAccord(w io.Writer, a features.Accord) {
	t := a.LeaseTerms()
	fmt.Fprintf(w, "accord: cluster %s, %d registrars, without a lease: %s\n"+
		"accord: D = lease / (1 - drift) + send = %v / (1 - %g) + %v = %v; a lease that nobody renews is over for certain after %v\n",
		a.Cluster, len(a.Registrars), a.WithoutLease, t.Length, t.Drift, t.Send, t.StalenessBound().Round(time.Millisecond), t.ExpiryWait(t.Longest).Round(time.Millisecond))
}

// clusterCommand holds the flags that the commands which call the registrars share.
type clusterCommand struct {
	settings, author, reason  string
	timeout                   time.Duration
	wait, force, changesRules bool
}

// register adds the flags that all of these commands have.
func (o *clusterCommand) register(c *cobra.Command) {
	c.Flags().StringVar(&o.settings, "settings", "", "`FILE` of settings; its section accord names the registrars")
	c.Flags().DurationVar(&o.timeout, "patience", 30*time.Second, "how long to retry and to wait in total")
	c.MarkFlagRequired("settings")
}

// registerChange adds the flags of commands that change the rules.
func (o *clusterCommand) registerChange(c *cobra.Command, env func(string) string) {
	o.register(c)
	o.changesRules = true
	c.Flags().StringVar(&o.reason, "reason", "", "why the change is made; stored with it")
	c.Flags().StringVar(&o.author, "author", env("USER"), "who makes the change; stored with it")
	c.Flags().BoolVar(&o.wait, "wait", false, "wait until the change is confirmed; on timeout name the dispatchers that are missing")
	c.Flags().BoolVar(&o.force, "force", false, "allow it even if it exceeds the budget or closes the last server of a class")
	c.MarkFlagRequired("reason")
}

// connect reads the settings and returns a context with the function that releases it, a client of the registrars and the
// name of the cluster. The context ends after the timeout or on SIGINT or SIGTERM.
func (o *clusterCommand) connect() (context.Context, func(), *accord.Client, string, error) {
	if o.changesRules && o.author == "" {
		return nil, nil, nil, "", errors.New("--author: expected the name of who makes the change, as USER is not set")
	}
	f, err := features.Load(o.settings, readSettings)
	if err != nil {
		return nil, nil, nil, "", err
	}
	if !f.Accord.Enabled() {
		return nil, nil, nil, "", fmt.Errorf("%s: accord.cluster: expected a name", o.settings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	return ctx, func() { cancel(); stop() }, accord.NewClient(f.Accord.Registrars), f.Accord.Cluster, nil
}

// leaderStatus asks the leader for its status.
func leaderStatus(ctx context.Context, c *accord.Client) (accord.Status, error) {
	var s accord.Status
	if err := c.Do(ctx, accord.PathStatus, nil, &s); err != nil {
		return s, failure{err}
	}
	return s, nil
}

// submit requests changes based on the current version, and retries if another change was accepted first.
func (o *clusterCommand) submit(ctx context.Context, c *accord.Client, cluster string, changes ...ruleset.Change) (ruleset.Answer, error) {
	for {
		s, err := leaderStatus(ctx, c)
		if err != nil {
			return ruleset.Answer{}, err
		}
		request := accord.OperatorRequest{Cluster: cluster, ChangeRequest: ruleset.ChangeRequest{Key: rand.Text(), BaseVersion: s.Head.Version, Author: o.author, Reason: o.reason,
			Forced: o.force, Changes: changes}}
		var a ruleset.Answer
		if err := c.Do(ctx, accord.PathChange, request, &a); err != nil {
			return a, failure{err}
		}
		if a.Refused == ruleset.RefusedStale { // another change was accepted first
			continue
		}
		if a.Refused != "" {
			return a, failure{fmt.Errorf("refused (%s): %s", a.Refused, a.Text)}
		}
		return a, nil
	}
}

func cordonCommand(env func(string) string) *cobra.Command {
	var o clusterCommand
	var born int64
	var expires time.Duration
	c := &cobra.Command{Use: "cordon HOST", Short: "Stop all dispatchers from sending new requests to a server", Args: cobra.ExactArgs(1),
		Long: `Stop all dispatchers from sending new requests to a server. Once the cordon is confirmed, no dispatcher starts an attempt
there and the server may be switched off. Exit code 1 if the cordon is refused or not confirmed in time.`,
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop, client, cluster, err := o.connect()
			if err != nil {
				return err
			}
			defer stop()
			t := cordon.Target{Host: args[0]}
			if c.Flags().Changed("born") {
				t.Born = &born
			}
			a, err := o.submit(ctx, client, cluster, ruleset.Change{Kind: ruleset.KindCordon, Cordon: &t, DurationMs: expires.Milliseconds()})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "cordon of %s agreed as version %d\n", t.ID(), a.Version)
			if s, err := leaderStatus(ctx, client); err == nil {
				printBounds(c.OutOrStdout(), s)
			}
			if !o.wait {
				return nil
			}
			return waitConfirmed(ctx, c.OutOrStdout(), client, t.ID())
		}}
	o.registerChange(c, env)
	c.Flags().Int64Var(&born, "born", 0, "only the incarnation that started at this time (Unix time in `MS`); by default every incarnation of the name")
	c.Flags().DurationVar(&expires, "for", 0, "time until the cordon expires")
	return c
}

// printBounds prints the sites whose staleness bound D is longer than the settings lead to.
func printBounds(out io.Writer, s accord.Status) {
	for _, site := range slices.Sorted(maps.Keys(s.StalenessBoundBySite)) {
		fmt.Fprintf(out, "site %s is about to be cut off: its dispatchers have longer leases, and D is %s there\n", site, s.StalenessBoundBySite[site])
	}
}

// waitConfirmed waits until a cordon is confirmed. If the context ends first, the error names the dispatchers that are
// missing.
func waitConfirmed(ctx context.Context, out io.Writer, client *accord.Client, id string) error {
	missing := "no leader has reported its progress"
	for {
		s, err := leaderStatus(ctx, client)
		if err != nil {
			return failure{fmt.Errorf("%s is not confirmed: %s (%w)", id, missing, err)}
		}
		i := slices.IndexFunc(s.Cordons, func(c statemachine.CordonStatus) bool { return c.ID == id })
		if i < 0 {
			return failure{fmt.Errorf("%s is not cordoned any more", id)}
		}
		c := s.Cordons[i]
		if c.State == cordon.Confirmed {
			fmt.Fprintf(out, "cordon of %s confirmed: no dispatcher will start anything there%s\n", id, lapsedText(c))
			return nil
		}
		missing = fmt.Sprintf("%d of %d dispatchers have applied it, missing: %s", c.Reached, c.Total, stragglersText(c))
		select {
		case <-ctx.Done():
			return failure{fmt.Errorf("%s is not confirmed: %s", id, missing)}
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// lapsedText names the dispatchers that did not acknowledge a confirmed cordon but whose leases have expired.
func lapsedText(c statemachine.CordonStatus) string {
	if c.Confirmed == nil || len(c.Confirmed.Lapsed) == 0 {
		return ""
	}
	return "; not heard, but without a lease: " + strings.Join(c.Confirmed.Lapsed, ", ")
}

// stragglersText names the dispatchers that may still start attempts on the server.
func stragglersText(c statemachine.CordonStatus) string {
	var names []string
	for _, m := range c.Stragglers {
		switch {
		case m.NeverLapses && m.Remaining <= 0:
			names = append(names, m.Name+" (serves without a lease until it is heard, or retired by force)")
		case m.Remaining > 0:
			names = append(names, fmt.Sprintf("%s (for %v at most)", m.Name, m.Remaining.Round(time.Millisecond)))
		default:
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 {
		return "none; about to be confirmed"
	}
	return strings.Join(names, ", ")
}

func uncordonCommand(env func(string) string) *cobra.Command {
	var o clusterCommand
	c := &cobra.Command{Use: "uncordon ID", Short: "Lift a cordon; it ends once every dispatcher knows of that", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop, client, cluster, err := o.connect()
			if err != nil {
				return err
			}
			defer stop()
			a, err := o.submit(ctx, client, cluster, ruleset.Change{Kind: ruleset.KindLift, Name: args[0]})
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "lifting of %s agreed as version %d\n", args[0], a.Version)
			for o.wait {
				s, err := leaderStatus(ctx, client)
				if err != nil {
					return err
				}
				if !slices.ContainsFunc(s.Cordons, func(c statemachine.CordonStatus) bool { return c.ID == args[0] }) {
					fmt.Fprintf(c.OutOrStdout(), "%s is open again\n", args[0])
					return nil
				}
				select {
				case <-ctx.Done():
					return failure{errors.New("the cordon is not lifted yet: at least one dispatcher holds a lease and has not received the change")}
				case <-time.After(50 * time.Millisecond):
				}
			}
			return nil
		}}
	o.registerChange(c, env)
	return c
}

func changeCommand(env func(string) string) *cobra.Command {
	var o clusterCommand
	c := &cobra.Command{Use: "change FILE", Short: "Request changes of the rules, given as a JSON list (see docs/accord.md)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var changes []ruleset.Change
			d := json.NewDecoder(bytes.NewReader(text))
			d.DisallowUnknownFields()
			if err := d.Decode(&changes); err != nil {
				return fmt.Errorf("%s: expected a list of changes: %w", args[0], err)
			}
			ctx, stop, client, cluster, err := o.connect()
			if err != nil {
				return err
			}
			defer stop()
			a, err := o.submit(ctx, client, cluster, changes...)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "agreed as version %d; %d of %d changes wait until all dispatchers know of them\n", a.Version, a.PendingCount, len(changes))
			return nil
		}}
	o.registerChange(c, env)
	return c
}

func retireCommand(env func(string) string) *cobra.Command {
	var o clusterCommand
	c := &cobra.Command{Use: "retire NAME", Short: "Declare that a dispatcher's process has ended for good", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop, client, cluster, err := o.connect()
			if err != nil {
				return err
			}
			defer stop()
			if err := client.Do(ctx, accord.PathRetire, accord.RetireRequest{Cluster: cluster, Name: args[0], Author: o.author, Reason: o.reason,
				Forced: o.force}, nil); err != nil {
				return failure{err}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is not waited for any more, once its leases are over\n", args[0])
			return nil
		}}
	o.registerChange(c, env)
	return c
}

func statusCommand() *cobra.Command {
	var o clusterCommand
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Show the leader, the rules in force and which dispatchers have them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop, client, _, err := o.connect()
			if err != nil {
				return err
			}
			defer stop()
			s, err := leaderStatus(ctx, client)
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", " ")
				return e.Encode(s)
			}
			printStatus(c.OutOrStdout(), s)
			return nil
		}}
	o.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print the whole status as JSON")
	return c
}

// dispatchNote returns what an operator should know of a dispatch beside its progress.
func dispatchNote(d statemachine.DispatchState) string {
	if d.MayHaveRun && (d.Progress == statemachine.Free || d.Progress == statemachine.Claimed) {
		return "a try may have run"
	}
	return d.Reason
}

// printStatus writes a status as a table.
func printStatus(out io.Writer, s accord.Status) {
	fmt.Fprintf(out, "cluster %s, version %d, leader %s in term %d, D %s\n", s.Cluster, s.Head.Version, s.Role.Name, s.Role.Term, s.StalenessBound)
	printBounds(out, s)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, c := range s.Cordons {
		fmt.Fprintf(w, "cordon\t%s\t%s\t%d of %d\t%s: %s", c.ID, c.State, c.Reached, c.Total, c.Author, c.Reason)
		if c.State == cordon.Propagating {
			fmt.Fprintf(w, "; missing: %s", stragglersText(c))
		}
		fmt.Fprintf(w, "%s\n", lapsedText(c))
	}
	for _, x := range s.PendingChanges {
		fmt.Fprintf(w, "waits\tversion %d\t%s %s\t\t%s: %s\n", x.Version, x.Change.Kind, x.Change.Name, x.Author, x.Reason)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Dispatches)) {
		x := s.Dispatches[name]
		fmt.Fprintf(w, "dispatch\t%s\t%s\t%s\t%s\n", name, x.Progress, x.Owner, dispatchNote(x))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Sites)) {
		x := s.Sites[name]
		forecast := "not enough is known of it"
		if x.HasForecast {
			forecast = fmt.Sprintf("up in an hour: %.2f", x.UpInAnHour)
		}
		fmt.Fprintf(w, "site\t%s\t%s\tsince %s\t%s\n", name, x.State, time.UnixMilli(x.SinceMs).UTC().Format(time.RFC3339), forecast)
	}
	for _, d := range s.Dispatchers {
		lastBeat := "not heard by this leader"
		if d.SeenByLeader {
			lastBeat = "heard " + d.SinceLastBeat + " ago"
		}
		if len(d.UnknownKinds) > 0 {
			lastBeat += "; does not understand " + strings.Join(d.UnknownKinds, ", ")
		}
		fmt.Fprintf(w, "dispatcher\t%s\tholds %d\t%s\t%s\n", d.Name, d.HeldVersion, d.Mode, lastBeat)
	}
	for _, name := range s.MissingDispatchers {
		fmt.Fprintf(w, "expected\t%s\tnot in the record\n", name)
	}
}
