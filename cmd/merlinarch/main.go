// Command merlinarch is the gateway: it runs the decision module (package logic) behind real sockets. It also has the
// operators' commands for configuration, ledgers and the replicated rules.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"merlinarch/internal/config"
	"merlinarch/internal/features"
	"merlinarch/internal/logging"
	"merlinarch/internal/template"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // the router could not serve or stopped serving; a command failed, or a check found a fault
	exitBadCall = 2 // the command line, the configuration or a script is invalid
)

// failure marks an error that the caller's input did not cause; it leads to exit code 1.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer, env func(string) string) int {
	root := &cobra.Command{Use: "merlinarch", Short: "A gateway with a release guard", SilenceUsage: true,
		SilenceErrors: true, Args: cobra.NoArgs, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		RunE: func(c *cobra.Command, _ []string) error {
			return fmt.Errorf("expected a command\n%s", c.UsageString())
		}}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetArgs(normalizeDashes(args))
	root.AddCommand(serveCommand(env), checkCommand(env), ledgerCommand(env), cordonCommand(env), uncordonCommand(env),
		changeCommand(env), retireCommand(env), statusCommand(), registrarCommand(), rehearseCommand(), versionCommand())
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errOut, "merlinarch: %v\n", err)
	if errors.As(err, new(failure)) {
		return exitFailed
	}
	return exitBadCall
}

// normalizeDashes adds the second dash to the long flags that earlier versions accepted with a single one; cobra would read
// those as groups of short flags.
func normalizeDashes(args []string) []string {
	out := slices.Clone(args)
	for i, a := range out {
		for _, name := range []string{"-config", "-log-level", "-help"} {
			if a == name || strings.HasPrefix(a, name+"=") {
				out[i] = "-" + a
			}
		}
	}
	return out
}

// configFlags holds the flags that name the configuration, the log level and the settings.
type configFlags struct{ config, level, settings string }

// register adds the flags to a command.
func (f *configFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.config, "config", "", "the configuration `FILE`; "+config.EnvFile+" names it if not given")
	c.Flags().StringVar(&f.level, "log-level", "info", "debug, info, warn or error")
	c.Flags().StringVar(&f.settings, "settings", "", "`FILE` that enables optional features; without it all of them are off")
}

func serveCommand(env func(string) string) *cobra.Command {
	var f configFlags
	c := &cobra.Command{Use: "serve", Short: "Run the router", Args: refuseArguments, Long: `Run the router.

SIGUSR1 logs its counters, SIGHUP rereads the addresses of discovery and of the release platform, SIGTERM ends it once
all accepted requests are answered. LB_NAME, LB_LISTEN and LB_DISCOVERY override the configuration.`,
		RunE: func(*cobra.Command, []string) error {
			c, s, err := f.load(env)
			if err != nil {
				return err
			}
			log, err := logging.New(f.level)
			if err != nil {
				return err
			}
			if err := serve(c, s, log); err != nil {
				return failure{err}
			}
			return nil
		}}
	f.register(c)
	return c
}

func checkCommand(env func(string) string) *cobra.Command {
	var f configFlags
	c := &cobra.Command{Use: "check", Short: "Validate the configuration without serving",
		Args: refuseArguments, RunE: func(cmd *cobra.Command, _ []string) error {
			c, s, err := f.load(env)
			if err != nil {
				return err
			}
			if s.Accord.Enabled() {
				printAccord(cmd.OutOrStdout(), s.Accord)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "configuration is good: %s listens on %s, %d classes, %d peers, room for %d requests, "+
				"%d connections from clients, %d to hosts\n", c.Name, c.Listen, len(c.Settings.Classes), len(c.Peers),
				c.Limits.MaxHeld, c.Limits.ClientConns, c.Limits.ServerConns)
			fmt.Fprintf(cmd.OutOrStdout(), "memory: %v\n", c.Limits.Memory)
			return nil
		}}
	f.register(c)
	return c
}

// load reads and validates the configuration and the settings.
func (f configFlags) load(env func(string) string) (config.Config, features.Features, error) {
	c, err := config.Load(f.config, env)
	if err != nil {
		return c, features.Features{}, err
	}
	s, err := features.Load(f.settings, readSettings)
	return c, s, err
}

// toolsProgram is installed in the same folder as this program. It links the libraries for rehearsals and templates, which
// would double the memory that an idle router uses.
const toolsProgram = "merlinarch-rehearse"

// registrarProgram is installed in the same folder too. Raft and its store would add a third to the memory of an idle
// router.
const registrarProgram = "merlinarch-registrar"

// siblingPath returns the path of a program in the folder of this one.
func siblingPath(program string) (string, error) {
	own, err := os.Executable()
	if err != nil {
		return "", failure{err}
	}
	return filepath.Join(filepath.Dir(own), program), nil
}

// rehearseCommand delegates to the rehearsal program.
func rehearseCommand() *cobra.Command {
	return delegateCommand("rehearse", "Rehearse an incident: check, run, live, sweep, compare", toolsProgram)
}

// registrarCommand delegates to the registrar program.
func registrarCommand() *cobra.Command {
	return delegateCommand("registrar", "Run a member of the Raft group that replicates the rules: init, join, run", registrarProgram)
}

// delegateCommand returns a command that replaces this process by another program, with the same arguments.
func delegateCommand(use, short, program string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short,
		DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error {
			path, err := siblingPath(program)
			if err != nil {
				return err
			}
			if err := syscall.Exec(path, append([]string{path}, args...), os.Environ()); err != nil {
				return failure{fmt.Errorf("%s: %w (it is built beside merlinarch)", path, err)}
			}
			return nil
		}}
}

// readSettings reads settings. It parses plain JSON itself; it has toolsProgram evaluate a Jsonnet template.
func readSettings(path string) (map[string]any, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &template.Error{File: path, Text: errors.Unwrap(err).Error()}
	}
	if json.Valid(data) {
		return template.ParseObject(path, string(data))
	}
	tools, err := siblingPath(toolsProgram)
	if err != nil {
		return nil, err
	}
	var stdout, stderr strings.Builder
	c := exec.Command(tools, "settings", path)
	c.Stdout, c.Stderr = &stdout, &stderr
	if err := c.Run(); err != nil {
		if stderr.Len() == 0 {
			return nil, failure{fmt.Errorf("%s can't be evaluated: %w (%s is built beside merlinarch; plain JSON does not need it)", path, err, toolsProgram)}
		}
		return nil, errors.New(strings.TrimSpace(strings.TrimPrefix(stderr.String(), "merlinarch rehearse: ")))
	}
	return template.ParseObject(path, stdout.String())
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: refuseArguments, Run: func(c *cobra.Command, _ []string) {
		fmt.Fprintln(c.OutOrStdout(), version())
	}}
}

// refuseArguments reports an error if a command gets positional arguments.
func refuseArguments(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	return nil
}

// version returns the module's version, the revision and the Go version that this program was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "merlinarch (unknown build)"
	}
	revision := "unknown revision"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	return fmt.Sprintf("merlinarch %s, %s, %s", info.Main.Version, revision, info.GoVersion)
}
