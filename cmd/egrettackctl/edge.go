package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"

	"egrettack.example/core/token"
	"egrettack.example/node/edge"
)

// errNoServer says that an instance knows no server of a token.
var errNoServer = errors.New("no server is known")

// errNoRoute says that an instance has no route to a destination.
var errNoRoute = errors.New("no route")

// edgeStatus prints the state of instances with affinity by token.
type edgeStatus struct{ stub }

func (*edgeStatus) run(a *app) error {
	t := &table{head: "instance domain state version epoch revision age_ms source routes servers flows members evacuated"}
	var list []edge.Status
	err := a.eachEdge(func(ctx context.Context, addr netip.AddrPort) error {
		s, err := edge.FetchStatus(ctx, addr)
		if err != nil {
			return err
		}
		state := "ready"
		if s.NotReady != "" {
			state = s.NotReady
		}
		list = append(list, s)
		t.add(s.Name, s.Domain, state, s.Version, s.Epoch, s.Revision, s.AgeMS, s.Source, s.Routes, s.Servers, s.Flows, len(s.Members), evacuatedColumn(s))
		return nil
	})
	return a.printAfter(err, list, t)
}

// evacuatedColumn returns the evacuations that an instance has in force, with the time since it
// learned of each, "-" for none.
func evacuatedColumn(s edge.Status) string {
	list := make([]string, 0, len(s.Evacuations))
	for _, x := range s.Evacuations {
		list = append(list, fmt.Sprintf("%s:%s:%s", domainText(x.Domain), (time.Duration(x.SinceMS)*time.Millisecond).Round(time.Second), x.Source))
	}
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}

// domainText returns the name of a failure domain for output, quoted if it has spaces, separators or characters
// that a terminal would act on: anyone who writes into the store may have chosen it.
func domainText(domain string) string {
	if strings.ContainsFunc(domain, func(r rune) bool {
		return !unicode.IsGraphic(r) || unicode.IsSpace(r) || strings.ContainsRune(",:\"", r)
	}) {
		return strconv.QuoteToGraphic(domain)
	}
	return domain
}

// edgeHosts prints the backend servers of an instance.
type edgeHosts struct{ stub }

func (*edgeHosts) run(a *app) error { return a.printServers(edge.FetchServers) }

// edgeFlow prints the backend server that a token names.
type edgeFlow struct {
	stub
	Token uint32 `long:"token" required:"true" description:"token of the flow's packets, as the log has it"`
}

func (c *edgeFlow) run(a *app) error {
	return a.printServers(func(ctx context.Context, addr netip.AddrPort) ([]edge.ServerStatus, error) {
		list, err := edge.FetchServersByToken(ctx, addr, token.Token(c.Token))
		if err == nil && len(list) == 0 {
			err = fmt.Errorf("%w: token %d at %s", errNoServer, c.Token, addr)
		}
		return list, err
	})
}

func (a *app) printServers(ask func(context.Context, netip.AddrPort) ([]edge.ServerStatus, error)) error {
	t := &table{head: "host service domain address state silent failing open busy token revision warm_up speed"}
	var all []edge.ServerStatus
	err := a.eachEdge(func(ctx context.Context, addr netip.AddrPort) error {
		list, err := ask(ctx, addr)
		for _, s := range list {
			t.add(s.Name, s.Service, s.Domain, s.Addr, s.State, s.Unresponsive, fmt.Sprintf("%.2f", s.Excess), s.OpenFlows, s.InFlight, s.Token, s.Revision, warmUpColumn(s), fmt.Sprintf("%.2f", s.Speed))
		}
		all = append(all, list...)
		return err
	})
	return a.printAfter(err, all, t)
}

// warmUpColumn returns the limit of a server that warms up: new flows a second, those of the
// instance in each of its periods, and the remaining time.
func warmUpColumn(s edge.ServerStatus) string {
	if s.WarmUp == nil {
		return "-"
	}
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return fmt.Sprintf("%g/s:%d/%s:%s", s.WarmUp.PerSecond, s.WarmUp.OwnFlows, ms(s.WarmUp.OwnPeriodMS), ms(s.WarmUp.RemainingMS))
}

// printAfter prints what was found, also when a call failed.
func (a *app) printAfter(err error, v any, t *table) error {
	if len(t.rows) > 0 {
		if perr := a.print(v, t); perr != nil {
			return perr
		}
	}
	return err
}

// eachEdge calls f for each instance that the options name, and returns the
// last failure.
func (a *app) eachEdge(f func(ctx context.Context, addr netip.AddrPort) error) error {
	if len(a.Instance) == 0 {
		return fmt.Errorf("%w: --instance is needed", errUsage)
	}
	var failed error
	for _, text := range a.Instance {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("%w: %q is not an address with a port", errUsage, text)
		}
		ctx, cancel := context.WithTimeout(a.ctx, a.Timeout)
		err = f(ctx, addr)
		cancel()
		switch {
		case errors.Is(err, errNoServer), errors.Is(err, errNoRoute):
			failed = err
		case err != nil:
			failed = fmt.Errorf("%w: %s", errUnreachable, oneLine(err))
		}
	}
	return failed
}
