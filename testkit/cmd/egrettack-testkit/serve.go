package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/testkit/control"
	"egrettack.example/testkit/fabric"
	"egrettack.example/testkit/hosts"
	"egrettack.example/testkit/layout"
	"egrettack.example/testkit/link"
	"egrettack.example/testkit/platform"
)

type layoutCommand struct {
	Tree       string         `long:"tree" required:"true" description:"directory of the settings tree"`
	Out        string         `long:"out" required:"true" description:"directory for the generated files"`
	BasePort   int            `long:"base-port" description:"first port, 0 to look for a free block"`
	Domains    []string       `long:"domain" required:"true" description:"failure domain"`
	Instances  int            `long:"instances" default:"6"`
	Spare      int            `long:"spare-instances" description:"instances that are not published at first"`
	Hosts      map[string]int `long:"hosts" description:"hosts of a service, as path:number"`
	SpareHosts map[string]int `long:"spare-hosts" description:"hosts that are not published at first"`
	Links      bool           `long:"links" description:"lead traffic between domains over links"`
	Stop       string         `long:"stop-timeout" default:"20s"`
	LogLevel   string         `long:"log-level" default:"info"`
}

func (c *layoutCommand) Execute([]string) error {
	_, err := layout.Generate(layout.Spec{
		Tree: c.Tree, Out: c.Out, BasePort: c.BasePort, Domains: c.Domains,
		Instances: c.Instances, Spare: c.Spare, Hosts: c.Hosts, SpareHosts: c.SpareHosts,
		Links: c.Links, StopTimeout: c.Stop, LogLevel: c.LogLevel,
	})
	return err
}

type platformCommand struct {
	withWorld
	Values string `long:"values" description:"file of the first publication"`
}

func (c *platformCommand) Execute([]string) error {
	w, err := c.read()
	if err != nil {
		return err
	}
	store := platform.NewStore()
	if c.Values != "" {
		b, err := os.ReadFile(c.Values)
		if err != nil {
			return trace.Wrap(err, "read first publication")
		}
		var change platform.Change
		if err := json.Unmarshal(b, &change); err != nil {
			return trace.Wrap(err, "decode first publication")
		}
		if _, err := store.Publish(change); err != nil {
			return err
		}
	}
	addr, err := control.Address(w.Platform)
	if err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	server := platform.NewServer(store)
	failed := make(chan error, len(w.Views)+1)
	for _, v := range w.Views {
		view := server.View(strings.NewReplacer(w.HealthVia(v.Domain)...))
		go func() { failed <- control.Serve(ctx, v.Listen.String(), view) }()
	}
	go func() { failed <- control.Serve(ctx, addr, server) }()
	return <-failed
}

type fabricCommand struct {
	withWorld
	Direct bool          `long:"direct" description:"send packets to hosts without any instance"`
	Lag    time.Duration `long:"lag" default:"300ms" description:"delay of the instance list"`
	Seed   uint64        `long:"seed" default:"1"`
}

func (c *fabricCommand) Execute([]string) error {
	w, err := c.read()
	if err != nil {
		return err
	}
	f, err := fabric.New(fabric.Config{World: w, Direct: c.Direct, Lag: c.Lag, Seed: c.Seed})
	if err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	return f.Run(ctx)
}

type hostsCommand struct{ withWorld }

func (c *hostsCommand) Execute([]string) error {
	w, err := c.read()
	if err != nil {
		return err
	}
	s, err := hosts.New(w)
	if err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	return s.Run(ctx)
}

type linkCommand struct {
	withWorld
	Delay  time.Duration `long:"delay" default:"5ms" description:"one way, between domains"`
	Jitter time.Duration `long:"jitter" default:"1ms"`
	Seed   uint64        `long:"seed" default:"1"`
}

func (c *linkCommand) Execute([]string) error {
	w, err := c.read()
	if err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	return link.New(w, c.Delay, c.Jitter, c.Seed).Run(ctx)
}
