package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"egrettack.example/node/rpc"
	"egrettack.example/settings/daemon"
)

// Exit codes.
const (
	exitFine        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitUnreachable = 3
)

var (
	errUsage       = errors.New("usage")
	errUnreachable = errors.New("an instance was not reachable")
	// errReported stands for a failure whose details were printed already.
	errReported = errors.New("failed")
)

// app holds the options that all commands share and where they print.
type app struct {
	JSON     bool          `long:"json" description:"print JSON instead of a table"`
	Instance []string      `long:"instance" value-name:"ADDR" description:"rpc address of an instance; may be given several times"`
	All      bool          `long:"all" description:"ask all instances that the first reachable one lists"`
	Domain   string        `long:"domain" value-name:"NAME" description:"with --all, use the addresses as seen from this failure domain"`
	Key      string        `long:"key" env:"EGRETTACK_KEY" value-name:"NUMBER:SECRET" description:"shared key; other users of the machine can read command lines, so prefer --key-file"`
	KeyFile  string        `long:"key-file" env:"EGRETTACK_KEY_FILE" value-name:"FILE" description:"file with the shared key, {\"id\": 1, \"secret\": \"...\"}"`
	Timeout  time.Duration `long:"timeout" default:"5s" description:"longest time for one call"`

	out, err io.Writer
	ctx      context.Context
	parser   *flags.Parser
}

// command is one sub-command.
type command interface {
	run(a *app) error
}

// stub gives a command the Execute method by which go-flags knows commands.
type stub struct{}

// Execute implements flags.Commander. The parser's CommandHandler is called
// in its place.
func (stub) Execute([]string) error { return nil }

const exitCodes = `Exit codes: 0 fine, 1 the check or request failed, 2 wrong usage, 3 an instance was not reachable.`

// run is the program. It returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut, ctx: context.Background()}
	err := a.execute(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitFine
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return exitFine
	case errors.As(err, &usage) || errors.Is(err, errUsage):
		fmt.Fprintln(errOut, "egrettackctl:", oneLine(err))
		return exitUsage
	case errors.Is(err, errUnreachable) || errors.Is(err, rpc.ErrUnreachable):
		fmt.Fprintln(errOut, "egrettackctl:", oneLine(err))
		return exitUnreachable
	case !errors.Is(err, errReported):
		fmt.Fprintln(errOut, "egrettackctl:", oneLine(err))
	}
	return exitFailed
}

func (a *app) execute(args []string) error {
	p := flags.NewNamedParser("egrettackctl", flags.HelpFlag|flags.PassDoubleDash)
	a.parser = p
	p.CompletionHandler = func(items []flags.Completion) {
		for _, item := range items {
			fmt.Fprintln(a.out, item.Item)
		}
	}
	p.ShortDescription = "check trees of settings and ask instances of egrettack"
	p.LongDescription = "Checks trees of settings and asks instances of egrettack. " + exitCodes
	if _, err := p.AddGroup("Common options", "", a); err != nil {
		return err
	}
	for _, c := range []struct {
		name, text string
		data       command
	}{
		{"check", "check a directory of settings and report all errors", &check{}},
		{"explain", "print the settings in force at a path and the origin of each", &explain{}},
		{"diff", "print the effective differences between two directories", &diff{}},
		{"status", "print the state of instances", &status{}},
		{"hosts", "print the backend servers and their load as their owners know it", &hosts{}},
		{"flow", "tell where a flow goes and why", &flowCommand{}},
		{"edge-status", "print the state of instances with affinity by token", &edgeStatus{}},
		{"edge-hosts", "print the backend servers as an instance with affinity by token knows them", &edgeHosts{}},
		{"edge-flow", "tell which backend server holds the flows with a token", &edgeFlow{}},
		{"edge-explain", "tell where a flow would go now and why, without sending it", &edgeExplain{}},
		{"edge-fleet", "ask all instances with affinity by token and print where they disagree", &edgeFleet{}},
		{"completion", "print a script for the completion of command lines", &completion{}},
		{"man", "print the manual page", &man{}},
		{"drain-status", "print what is still open on leaving hosts and instances", &drain{}},
	} {
		if _, err := p.AddCommand(c.name, c.text, c.text+". "+exitCodes, c.data); err != nil {
			return err
		}
	}
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return fmt.Errorf("%w: unexpected argument %q", errUsage, rest[0])
		}
		return c.(command).run(a)
	}
	_, err := p.ParseArgs(args)
	return err
}

// key returns the shared key that the options name.
func (a *app) key() (k daemon.Key, err error) {
	switch {
	case a.KeyFile != "":
		k, err = daemon.LoadKey(a.KeyFile)
	case a.Key != "":
		k, err = daemon.ParseKey(a.Key)
	default:
		err = errors.New("--key-file or --key is needed")
	}
	if err != nil {
		return k, fmt.Errorf("%w: %s", errUsage, oneLine(err))
	}
	return k, nil
}
