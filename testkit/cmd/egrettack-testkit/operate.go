package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/operate"
	"egrettack.example/testkit/platform"
)

// operatorWait bounds one act of an operator.
const operatorWait = 10 * time.Second

func operator(w withWorld) (operate.Operator, context.Context, context.CancelFunc, error) {
	wd, err := w.read()
	ctx, cancel := context.WithTimeout(context.Background(), operatorWait)
	return operate.Operator{World: wd}, ctx, cancel, err
}

type hostCommand struct {
	withWorld
	Args struct {
		Name  string `positional-arg-name:"NAME"`
		State string `positional-arg-name:"ready|draining|gone"`
	} `positional-args:"yes" required:"yes"`
}

func (c *hostCommand) Execute([]string) error {
	o, ctx, cancel, err := operator(c.withWorld)
	defer cancel()
	if err != nil {
		return err
	}
	return o.HostState(ctx, c.Args.Name, c.Args.State)
}

type instanceCommand struct {
	withWorld
	Args struct {
		Name  string `positional-arg-name:"NAME"`
		State string `positional-arg-name:"live|leaving|gone"`
	} `positional-args:"yes" required:"yes"`
}

func (c *instanceCommand) Execute([]string) error {
	o, ctx, cancel, err := operator(c.withWorld)
	defer cancel()
	if err != nil {
		return err
	}
	return o.InstanceState(ctx, c.Args.Name, c.Args.State)
}

type publishCommand struct {
	withWorld
	Delete []string `long:"delete" description:"key to delete"`
	Args   struct {
		Files []string `positional-arg-name:"KEY=FILE"`
	} `positional-args:"yes"`
}

func (c *publishCommand) Execute([]string) error {
	o, ctx, cancel, err := operator(c.withWorld)
	defer cancel()
	if err != nil {
		return err
	}
	change := platform.Change{Set: map[string]string{}, Delete: c.Delete}
	for _, a := range c.Args.Files {
		key, file, ok := strings.Cut(a, "=")
		if !ok {
			return trace.BadParameter("%q is not KEY=FILE", a)
		}
		b, err := os.ReadFile(file)
		if err != nil {
			return trace.Wrap(err, "read value of %s", key)
		}
		change.Set[key] = string(b)
	}
	return o.Publish(ctx, change)
}

type putCommand struct {
	withWorld
	Args struct {
		Target string `positional-arg-name:"platform|fabric|host|links"`
		JSON   string `positional-arg-name:"JSON"`
	} `positional-args:"yes" required:"yes"`
}

func (c *putCommand) Execute([]string) error {
	o, ctx, cancel, err := operator(c.withWorld)
	defer cancel()
	if err != nil {
		return err
	}
	return operate.Set(ctx, o.World, c.Args.Target, json.RawMessage(c.Args.JSON))
}

type awaitCommand struct {
	Timeout time.Duration `long:"timeout" default:"15s"`
	Args    struct {
		URLs []string `positional-arg-name:"URL"`
	} `positional-args:"yes" required:"yes"`
}

func (c *awaitCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	for _, u := range c.Args.URLs {
		if err := operate.Await(ctx, u); err != nil {
			return err
		}
	}
	return nil
}
