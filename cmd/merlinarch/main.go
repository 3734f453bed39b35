// Command merlinarch is the router on sockets round the decision module.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"merlinarch/internal/config"
	"merlinarch/internal/logging"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // it could not serve, or stopped serving
	exitBadCall = 2 // the command line or the configuration is wrong
)

const usage = `usage: merlinarch COMMAND [flags]

commands:
  serve     run the router; SIGUSR1 prints its counters, SIGHUP reads the addresses of discovery and platform
            anew, SIGTERM ends it once all is answered
  check     read the configuration and tell what is wrong with it, without serving
  version   print the version
  help      print this text

flags of serve and check:
  -config FILE     the configuration; LB_CONFIG if not given
  -log-level LEVEL debug, info, warn or error (info)

LB_NAME, LB_LISTEN and LB_DISCOVERY come before what the configuration says.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }

// run carries out one command line and gives the exit code.
func run(args []string, out, errOut io.Writer, env func(string) string) int {
	if len(args) == 0 {
		fmt.Fprint(errOut, usage)
		return exitBadCall
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(errOut)
	switch args[0] {
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return exitOK
	case "version":
		fmt.Fprintln(out, version())
		return exitOK
	case "serve", "check":
	default:
		fmt.Fprintf(errOut, "merlinarch: unknown command %q\n%s", args[0], usage)
		return exitBadCall
	}
	path := flags.String("config", "", "the configuration file; "+config.EnvFile+" if not given")
	level := flags.String("log-level", "info", "debug, info, warn or error")
	if err := flags.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitBadCall
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(errOut, "merlinarch: unexpected argument %q\n", flags.Arg(0))
		return exitBadCall
	}
	c, err := config.Load(*path, env)
	if err != nil {
		fmt.Fprintf(errOut, "merlinarch: %v\n", err)
		return exitBadCall
	}
	log, err := logging.New(*level)
	if err != nil {
		fmt.Fprintf(errOut, "merlinarch: %v\n", err)
		return exitBadCall
	}
	if args[0] == "check" {
		fmt.Fprintf(out, "configuration is good: %s listens on %s, %d classes, %d peers, room for %d requests, "+
			"%d connections from clients, %d to hosts\n", c.Name, c.Listen, len(c.Settings.Classes), len(c.Peers),
			c.Limits.MaxHeld, c.Limits.ClientConns, c.Limits.ServerConns)
		return exitOK
	}
	if err := serve(c, log); err != nil {
		fmt.Fprintf(errOut, "merlinarch: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// version tells what this program was built from.
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
