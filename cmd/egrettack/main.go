// Command egrettack is one instance of the load balancer.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"egrettack.example/cmd/internal/startup"
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

const name = "egrettack"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, ok := startup.Parse(args, &o); !ok {
		return code
	}
	if o.Version {
		fmt.Println(name, version())
		return 0
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, name+": --settings is needed")
		return startup.ExitUsage
	}
	s, code, ok := startup.Load(name, o.Settings, o.Check, daemon.Load)
	if !ok {
		return code
	}
	return serve(s, o)
}

func serve(s *daemon.Settings, o options) int {
	level, err := startup.Level(name, s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return startup.ExitUsage
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
		return startup.ExitFailed
	}
	if err := n.Run(ctx); err != nil {
		log.Error("stopped by a failure", "error", err)
		return startup.ExitFailed
	}
	return 0
}

func version() string {
	if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
		return b.Main.Version
	}
	return "unknown"
}
