// Command egrettack-testkit runs the stand-ins of the tests and the demo, each
// sub-command as a process of its own, and acts for their operators.
package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"egrettack.example/testkit/world"
)

// withWorld is common to all sub-commands that need a world file.
type withWorld struct {
	World string `long:"world" required:"true" description:"world file written by layout"`
}

func (w withWorld) read() (*world.World, error) { return world.Read(w.World) }

// interrupted is over at SIGINT or SIGTERM.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		command     flags.Commander
	}{
		{"layout", "generate a test installation", &layoutCommand{}},
		{"platform", "run the configuration service", &platformCommand{}},
		{"fabric", "run the network in front of the instances", &fabricCommand{}},
		{"hosts", "run the backend servers", &hostsCommand{}},
		{"link", "run the links between failure domains", &linkCommand{}},
		{"callers", "drive load and check its outcome", &callersCommand{}},
		{"host", "publish the state of a host", &hostCommand{}},
		{"instance", "publish the state of an instance", &instanceCommand{}},
		{"publish", "publish the content of files", &publishCommand{}},
		{"put", "set a fault in a stand-in", &putCommand{}},
		{"await", "wait until URLs answer", &awaitCommand{}},
		{"edge-demo", "play scripts around instances with affinity by token", &edgeDemoCommand{}},
		{"queueing", "run the queueing model of placing and admission", &queueingCommand{}},
		{"garbage", "send invalid datagrams and bytes to all ports of an instance", &garbageCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.command); err != nil {
			slog.Error("command line", "command", c.name, "err", err)
			os.Exit(2)
		}
	}
	if _, err := p.Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) {
			os.Stderr.WriteString(f.Message + "\n")
			os.Exit(2)
		}
		slog.Error("failed", "err", err)
		os.Exit(1)
	}
}
