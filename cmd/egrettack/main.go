// Command egrettack is one instance of the load balancer.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"egrettack.example/node"
	"egrettack.example/settings/daemon"
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file of this instance"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
	Profiles bool   `long:"pprof" description:"serve /debug/pprof on the http address"`
}

// gcPercent makes the collector run when the heap has grown by 15%. The
// heap is mostly the snapshot, which lives long, and the packet path allocates
// nothing, so the memory of the usual doubling would buy little.
const gcPercent = 15

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	if o.Version {
		fmt.Println("egrettack", version())
		return 0
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "egrettack: --settings is needed")
		return exitUsage
	}
	s, err := daemon.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "egrettack:", err)
		return exitUsage
	}
	if o.Check {
		fmt.Println(o.Settings, "is valid")
		return 0
	}
	return serve(s, o)
}

func serve(s *daemon.Settings, o options) int {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		fmt.Fprintln(os.Stderr, "egrettack: log_level:", err)
		return exitUsage
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("instance", s.Name)
	slog.SetDefault(log)
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	n, err := node.New(s, node.Options{Profiles: o.Profiles, Log: log})
	if err != nil {
		log.Error("start failed", "error", err)
		return exitFailed
	}
	if err := n.Run(ctx); err != nil {
		log.Error("stopped by a failure", "error", err)
		return exitFailed
	}
	return 0
}

func version() string {
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
		return b.Main.Version
	}
	return "unknown"
}
