package main

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"merlinarch/internal/decide/usage"
	"merlinarch/internal/features"
	"merlinarch/internal/ledger"
	"merlinarch/logic"
)

// ledgerOptions returns the options of a router's ledger; the commands use the same ones.
func ledgerOptions(f features.Ledger, s logic.Settings, instance string) ledger.Options {
	o := ledger.Options{Instance: instance, Now: time.Now, Limits: ledger.DefaultLimits(),
		Accounts: usage.Settings{Period: f.Period, Grace: f.Grace}}
	for _, t := range s.Tenants {
		o.Accounts.Tenants = append(o.Accounts.Tenants, t.Name)
	}
	for _, c := range s.Classes {
		o.Accounts.Classes = append(o.Accounts.Classes, c.Name)
	}
	return o
}

func ledgerCommand(env func(string) string) *cobra.Command {
	root := &cobra.Command{Use: "ledger", Short: "Read, check and correct usage ledgers; no router may have them open"}
	var f configFlags
	// The period's length and the names come from the files that the router reads.
	options := func() (ledger.Options, error) {
		c, s, err := f.load(env)
		if err != nil {
			return ledger.Options{}, err
		}
		return ledgerOptions(s.Ledger, c.Settings, c.Name), nil
	}
	var period, tenant, format string
	show := &cobra.Command{Use: "show FILE", Short: "Print statements: usage as counted and as corrected", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			o, err := options()
			if err != nil {
				return err
			}
			v, err := ledger.Show(args[0], o)
			if err != nil {
				return failure{err}
			}
			return printLedger(c.OutOrStdout(), v, o.Accounts, period, tenant, format)
		}}
	show.Flags().StringVar(&period, "period", "", "only the period that contains this time (RFC 3339)")
	show.Flags().StringVar(&tenant, "tenant", "", "only this tenant")
	show.Flags().StringVar(&format, "format", "table", "table, json or csv")
	verify := &cobra.Command{Use: "verify FILE...", Short: "Check hashes, sequence and sums; a fault gives exit code 1 and the first bad entry",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			o, err := options()
			if err != nil {
				return err
			}
			var failures error
			for _, path := range args {
				entries, err := ledger.Verify(path, o)
				if err != nil {
					failures = errors.Join(failures, err)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good, %d entries\n", path, entries)
			}
			if failures != nil {
				return failure{failures}
			}
			return nil
		}}
	var correction usage.Note
	var periodText, outcome string
	correct := &cobra.Command{Use: "correct FILE", Short: "Enter a correction; repeating it with the same key has no effect", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			o, err := options()
			if err != nil {
				return err
			}
			when, err := time.Parse(time.RFC3339, periodText)
			if err != nil {
				return fmt.Errorf("--period: expected a time such as 2026-12-01T12:00:00Z, got %q", periodText)
			}
			correction.For = o.Accounts.PeriodAt(when)
			found := false
			for i, name := range outcomeNames {
				if name == outcome {
					correction.Account.Outcome, found = usage.Outcome(i), true
				}
			}
			if !found {
				return fmt.Errorf("--outcome: expected served, refused or failed, got %q", outcome)
			}
			l, err := ledger.Open(args[0], o)
			if err != nil {
				return failure{err}
			}
			err = l.Correct(context.Background(), correction)
			if e := l.Close(); err == nil {
				err = e
			}
			if err != nil {
				return failure{err}
			}
			fmt.Fprintf(c.OutOrStdout(), "entered under key %s for the period from %s\n", correction.Key, o.Accounts.PeriodStart(correction.For).Format(time.RFC3339))
			return nil
		}}
	fl := correct.Flags()
	fl.StringVar(&periodText, "period", "", "a time in the period to correct (RFC 3339)")
	fl.StringVar(&correction.Account.Tenant, "tenant", "", "the tenant; it may be one that is no longer configured")
	fl.StringVar(&correction.Account.Class, "class", "", "the class")
	fl.StringVar(&outcome, "outcome", "served", "served, refused or failed")
	fl.Int64Var(&correction.Sum.Requests, "amount", 0, "number of requests to add; negative to subtract")
	fl.StringVar(&correction.Reason, "reason", "", "why the correction is made")
	fl.StringVar(&correction.Author, "author", "", "who makes the correction")
	fl.StringVar(&correction.Key, "key", "", "idempotency key of this correction")
	for _, c := range []*cobra.Command{show, verify, correct} {
		f.register(c)
		root.AddCommand(c)
	}
	return root
}

// outcomeNames holds the printed names of outcomes, by usage.Outcome.
var outcomeNames = []string{"served", "refused", "failed"}

// row is one printed line of a statement.
type row struct {
	Period    string  `json:"period"`
	Closed    bool    `json:"closed"`
	Tenant    string  `json:"tenant"`
	Class     string  `json:"class"`
	Outcome   string  `json:"outcome"`
	Requests  int64   `json:"requests"`
	Corrected int64   `json:"requests_corrected"`
	Attempts  int64   `json:"attempts"`
	WorkS     float64 `json:"work_s"`
	Worth     float64 `json:"worth"`
}

// printLedger writes a view of a ledger. Unconfirmed requests are reported as a separate number and are not part of the
// rows.
func printLedger(w io.Writer, v ledger.View, s usage.Settings, period, tenant, format string) error {
	selected := usage.Period(0)
	if period != "" {
		at, err := time.Parse(time.RFC3339, period)
		if err != nil {
			return fmt.Errorf("--period: expected a time such as 2026-12-01T12:00:00Z, got %q", period)
		}
		selected = s.PeriodAt(at)
	}
	rows := []row{}
	for _, st := range v.Statements {
		if period != "" && st.Period != selected {
			continue
		}
		for _, l := range st.Lines {
			if tenant == "" || l.Tenant == tenant {
				rows = append(rows, row{s.PeriodStart(st.Period).Format(time.RFC3339), st.Closed, l.Tenant, l.Class, outcomeNames[l.Outcome],
					l.Counted.Requests, l.Corrected.Requests, l.Counted.Attempts, l.Counted.Work.Seconds(), float64(l.Counted.Worth) / 1e6})
			}
		}
	}
	switch format {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		return e.Encode(map[string]any{"instance": v.Opening.Instance, "incarnation": v.Opening.Incarnation, "entries": v.Entries,
			"lines": rows, "unconfirmed": len(v.Unconfirmed)})
	case "csv":
		out := csv.NewWriter(w)
		out.Write([]string{"period", "closed", "tenant", "class", "outcome", "requests", "requests_corrected", "attempts", "work_s", "worth"})
		for _, r := range rows {
			out.Write([]string{r.Period, strconv.FormatBool(r.Closed), r.Tenant, r.Class, r.Outcome, strconv.FormatInt(r.Requests, 10),
				strconv.FormatInt(r.Corrected, 10), strconv.FormatInt(r.Attempts, 10), strconv.FormatFloat(r.WorkS, 'f', -1, 64),
				strconv.FormatFloat(r.Worth, 'f', -1, 64)})
		}
		out.Flush()
		return out.Error()
	case "table":
	default:
		return fmt.Errorf("--format: expected table, json or csv, got %q", format)
	}
	fmt.Fprintf(w, "%s, life %d, %d entries, %d unconfirmed\n", v.Opening.Instance, v.Opening.Incarnation, v.Entries, len(v.Unconfirmed))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "period\tclosed\ttenant\tclass\toutcome\trequests\tcorrected\tattempts\twork s\tworth")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%v\t%s\t%s\t%s\t%d\t%d\t%d\t%.3f\t%.3f\n", r.Period, r.Closed, r.Tenant, r.Class, r.Outcome, r.Requests,
			r.Corrected, r.Attempts, r.WorkS, r.Worth)
	}
	return t.Flush()
}
