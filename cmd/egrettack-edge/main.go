// Command egrettack-edge is one instance of the load balancer with affinity by
// token, on the users' platform.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"egrettack.example/cmd/internal/startup"
	instance "egrettack.example/node/edge"
	"egrettack.example/node/logging"
	"egrettack.example/platform"
	"egrettack.example/settings/edge"
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file of this instance"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
}

// gcPercent makes the collector run when the heap has grown by half; the heap
// is small, and memory is dearer to the users than the work.
const gcPercent = 50

const name = "egrettack-edge"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, ok := startup.Parse(args, &o); !ok {
		return code
	}
	s, code, ok := startup.Load(name, o.Settings, o.Check, edge.Load)
	if !ok {
		return code
	}
	return serve(o.Settings, s)
}

func serve(path string, s *edge.Settings) int {
	debug.SetGCPercent(gcPercent)
	level, err := startup.Level(name, s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return startup.ExitUsage
	}
	out := logging.NewWriter(os.Stdout)
	defer out.Close()
	log := logging.New(out, level).With("instance", s.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	i, err := instance.New(instance.Options{
		Settings: s,
		Packets:  platform.NewPacketCodec(s.Packets.Port()),
		Store: func(h instance.StoreHooks) instance.Store {
			return platform.NewStore(s.Store, log, platform.Hooks(h))
		},
		Log: log, LogLevel: level, LogLinesDropped: out.Dropped, Seed: rand.Uint64(),
	})
	if err != nil {
		log.Error("start failed", "error", err)
		return startup.ExitFailed
	}
	go i.WatchSettings(ctx, path, hangups)
	if err := i.Run(ctx); err != nil {
		log.Error("stopped by a failure", "error", err)
		return startup.ExitFailed
	}
	return 0
}
