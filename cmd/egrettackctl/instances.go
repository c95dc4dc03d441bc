package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

type status struct{ stub }

type statusRow struct {
	Instance string              `json:"instance"`
	Error    string              `json:"error,omitempty"`
	ID       snapshot.InstanceID `json:"id,omitempty"`
	State    string              `json:"state,omitempty"`
	Stale    bool                `json:"stale"`
	Version  snapshot.Version    `json:"version,omitempty"`
	Owned    int                 `json:"owned_groups"`
	Backup   int                 `json:"backup_groups"`
	Flows    int                 `json:"flows"`
	Backlog  int                 `json:"copy_backlog"`
	Peers    map[string]int      `json:"peers,omitempty"` // number of peers by state
}

func (c *status) run(a *app) error {
	r, answers, err := a.statuses()
	if answers == nil {
		return err
	}
	defer r.client.Close()
	var rows []statusRow
	out := &table{head: "INSTANCE ID STATE STALE VERSION OWNED BACKUP FLOWS BACKLOG READY PEERS ERROR"}
	for _, ans := range answers {
		row := statusRow{Instance: ans.Instance, Error: ans.Error}
		peers := 0
		if ans.Result != nil {
			row.fill(ans.Result)
			peers = len(ans.Result.Peers)
		}
		rows = append(rows, row)
		if ans.Result == nil {
			out.add(row.Instance, "", "", "", "", "", "", "", "", "", "", row.Error)
			continue
		}
		out.add(row.Instance, row.ID, row.State, row.Stale, row.Version, row.Owned, row.Backup, row.Flows, row.Backlog,
			row.Peers[message.Ready.String()], peers, row.Error)
	}
	return errors.Join(a.print(rows, out), err)
}

func (r *statusRow) fill(s *engine.Status) {
	r.ID, r.State, r.Stale, r.Version = s.Self, s.State.String(), s.Stale, s.Version
	r.Peers = make(map[string]int)
	for _, p := range s.Peers {
		r.Peers[p.State.String()]++
	}
	for _, g := range s.Groups {
		switch g.Role {
		case "backup":
			r.Backup++
		case "owner":
			r.Owned++
			r.Flows += g.Stats.Flows
			r.Backlog += g.Stats.Backlog
		}
	}
}

// statuses asks all targets for their status. The answers are nil when none
// could be asked.
func (a *app) statuses() (*remote, []answer[engine.Status], error) {
	r, err := a.remote()
	if err != nil {
		return nil, nil, err
	}
	targets, err := r.targets()
	if err != nil {
		r.client.Close()
		return nil, nil, err
	}
	answers, err := ask(r, targets, r.client.Status)
	return r, answers, err
}

type flowCommand struct {
	stub
	Args struct {
		Flow string `positional-arg-name:"5-TUPLE" description:"as in tcp/10.1.2.3:40000-10.9.0.1:7002"`
	} `positional-args:"yes" required:"yes"`
}

func (c *flowCommand) run(a *app) error {
	k, err := parseFlow(c.Args.Flow)
	if err != nil {
		return err
	}
	r, err := a.remote()
	if err != nil {
		return err
	}
	defer r.client.Close()
	targets, err := r.targets()
	if err != nil {
		return err
	}
	answers, err := ask(r, targets, func(ctx context.Context, addr string) (string, error) {
		return r.client.Explain(ctx, addr, k)
	})
	out := &table{head: "INSTANCE ANSWER"}
	for _, ans := range answers {
		text := ans.Error
		if ans.Result != nil {
			text = *ans.Result
		}
		first := ans.Instance
		for line := range strings.Lines(strings.TrimSpace(text)) {
			out.add(first, strings.TrimSpace(line))
			first = " " // the answer goes on
		}
	}
	return errors.Join(a.print(answers, out), err)
}

var flowPattern = regexp.MustCompile(`^(tcp|udp)/([0-9.]+:[0-9]+)-([0-9.]+:[0-9]+)$`)

// parseFlow reads a flow as flow.Key prints it.
func parseFlow(text string) (k flow.Key, err error) {
	m := flowPattern.FindStringSubmatch(text)
	if m == nil {
		return k, fmt.Errorf("%w: %q is not a 5-tuple, as in tcp/10.1.2.3:40000-10.9.0.1:7002", errUsage, text)
	}
	src, err := netip.ParseAddrPort(m[2])
	if err != nil {
		return k, fmt.Errorf("%w: source: %s", errUsage, err)
	}
	dst, err := netip.ParseAddrPort(m[3])
	if err != nil {
		return k, fmt.Errorf("%w: destination: %s", errUsage, err)
	}
	k = flow.Key{
		Src: flow.AddrFrom(src.Addr()), SrcPort: src.Port(),
		Dst: flow.AddrFrom(dst.Addr()), DstPort: dst.Port(), Proto: flow.TCP,
	}
	if m[1] == "udp" {
		k.Proto = flow.UDP
	}
	return k, nil
}
