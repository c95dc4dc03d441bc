package main

import (
	"context"
	"fmt"
	"net/netip"

	"egrettack.example/node/edge"
)

// edgeExplain tells where a flow would go now, without sending anything.
type edgeExplain struct {
	stub
	Dest   string `long:"dest" required:"true" description:"destination of the flow, address:port"`
	Caller string `long:"caller" description:"caller of the flow, address:port: tells where its flow is open"`
	Domain string `long:"domain" description:"only of the instances that belong to this failure domain"`
}

func (c *edgeExplain) run(a *app) error {
	dest, err := netip.ParseAddrPort(c.Dest)
	if err != nil {
		return fmt.Errorf("%w: --dest: %q is not an address with a port", errUsage, c.Dest)
	}
	var caller netip.AddrPort
	if c.Caller != "" {
		if caller, err = netip.ParseAddrPort(c.Caller); err != nil {
			return fmt.Errorf("%w: --caller: %q is not an address with a port", errUsage, c.Caller)
		}
	}
	t := &table{head: "instance service weight action reason host domain cost open busy warm_up_ms silent failing left_out"}
	var list []edge.Explanation
	err = a.eachEdge(func(ctx context.Context, addr netip.AddrPort) error {
		x, err := edge.FetchExplanation(ctx, addr, dest, caller)
		switch {
		case err != nil:
			return err
		case c.Domain != "" && x.Domain != c.Domain:
			return nil
		case x.Route == "":
			return fmt.Errorf("%w: to %s at instance %s by version %d, known to be current %d ms ago", errNoRoute, dest, x.Instance, x.Version, x.AgeMS)
		}
		list = append(list, x)
		addExplanation(t, &x)
		return nil
	})
	if err == nil && len(list) == 0 {
		return fmt.Errorf("%w: none of the instances belongs to the failure domain %s", errUsage, c.Domain)
	}
	return a.printAfter(err, list, t)
}

func addExplanation(t *table, x *edge.Explanation) {
	if x.OpenAt != "" {
		t.add(x.Instance, "", "", "forward", x.OpenBy, x.OpenAt, "", "", "", "", "", "", "", "")
	}
	for _, s := range x.Services {
		if s.Server == "" {
			t.add(x.Instance, s.Service, s.Weight, s.Action, s.Reason, "", "", "", "", "", "", "", "", "")
		}
		for n, c := range s.Candidates {
			action, reason := "", ""
			if n == 0 && c.Server == s.Server {
				action, reason = s.Action, s.Reason
			}
			t.add(x.Instance, s.Service, s.Weight, action, reason, c.Server, c.Domain, fmt.Sprintf("%.2f", c.Cost), c.OpenFlows, c.InFlight,
				c.WarmUpMS, c.Unresponsive, fmt.Sprintf("%.2f", c.Excess), c.LeftOut)
		}
	}
}
