package main

import (
	"errors"

	"egrettack.example/core/engine"
	"egrettack.example/core/group"
	"egrettack.example/core/snapshot"
)

type hosts struct{ stub }

// hostRow is one backend server. The counts are those of its owner, and nil
// when no owner among the asked instances knows it.
type hostRow struct {
	ID          snapshot.HostID     `json:"id"`
	Name        string              `json:"name"`
	Domain      string              `json:"domain"`
	Service     string              `json:"service"`
	State       string              `json:"state"`
	Owner       snapshot.InstanceID `json:"owner,omitempty"`
	Connections *int                `json:"connections,omitempty"`
	Slots       *int                `json:"slots,omitempty"`
	Weight      *float64            `json:"weight,omitempty"`
	Usable      *bool               `json:"usable,omitempty"`
	Why         string              `json:"why,omitempty"`
}

func (c *hosts) run(a *app) error {
	rows, _, err := a.hostRows()
	if rows == nil {
		return err
	}
	out := &table{head: "ID NAME DOMAIN SERVICE STATE OWNER CONNECTIONS SLOTS WEIGHT USABLE WHY"}
	for _, r := range rows {
		out.add(r.ID, r.Name, r.Domain, r.Service, r.State, orDash(r.Owner), show(r.Connections), show(r.Slots),
			show(r.Weight), show(r.Usable), r.Why)
	}
	return errors.Join(a.print(rows, out), err)
}

// hostRows joins the published hosts with the counts of their owners. With
// the rows it returns the answers they were made from.
func (a *app) hostRows() ([]hostRow, *fleet, error) {
	r, answers, asked := a.statuses()
	if answers == nil {
		return nil, nil, asked
	}
	defer r.client.Close()
	s, err := r.snapshot()
	if err != nil {
		return nil, nil, err
	}
	f := &fleet{snapshot: s, answers: answers}
	known := f.counts()
	rows := make([]hostRow, 0, len(s.Hosts))
	for _, h := range sorted(s.Hosts) {
		row := hostRow{
			ID: h.ID, Name: h.Name, State: "ready",
			Domain: s.Domains[h.Domain].Name, Service: s.Services[h.Service].Name,
		}
		if h.State == snapshot.HostDraining {
			row.State = "draining"
		}
		if k, ok := known[h.ID]; ok {
			st := k.stats
			row.Owner, row.Connections, row.Slots, row.Weight = k.owner, &st.Connections, &st.Slots, &st.Weight
			row.Usable, row.Why = &st.Usable, st.Why
		}
		rows = append(rows, row)
	}
	return rows, f, asked
}

// fleet is a snapshot together with the status of the instances asked.
type fleet struct {
	snapshot *snapshot.Snapshot
	answers  []answer[engine.Status]
}

type count struct {
	owner snapshot.InstanceID
	epoch uint64
	stats group.HostStats
}

// counts returns what the owners know of each host. Of two that both claim a
// group the one with the higher epoch holds.
func (f *fleet) counts() map[snapshot.HostID]count {
	out := make(map[snapshot.HostID]count)
	for _, ans := range f.answers {
		if ans.Result == nil {
			continue
		}
		for _, g := range ans.Result.Groups {
			if g.Role != "owner" {
				continue
			}
			for _, h := range g.Stats.Hosts {
				if old, ok := out[h.Host]; !ok || g.Epoch > old.epoch {
					out[h.Host] = count{ans.Result.Self, g.Epoch, h}
				}
			}
		}
	}
	return out
}

type drain struct{ stub }

type drainRow struct {
	What        string `json:"what"` // host or instance
	ID          uint32 `json:"id"`
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Connections *int   `json:"connections,omitempty"` // still open on a host
	Slots       *int   `json:"slots,omitempty"`
	Groups      *int   `json:"groups,omitempty"` // not yet handed over by an instance
	Done        bool   `json:"done"`
	Note        string `json:"note,omitempty"`
}

func (c *drain) run(a *app) error {
	hosts, fleet, err := a.hostRows()
	if hosts == nil {
		return err
	}
	rows := []drainRow{}
	for _, h := range hosts {
		if h.State != "draining" && h.Why != "draining" {
			continue
		}
		row := drainRow{What: "host", ID: uint32(h.ID), Name: h.Name, Domain: h.Domain, Connections: h.Connections, Slots: h.Slots}
		if row.Done = h.Connections != nil && *h.Connections == 0; h.Connections == nil {
			row.Note = "no asked instance owns its group"
		}
		rows = append(rows, row)
	}
	rows = append(rows, fleet.leaving()...)
	out := &table{head: "WHAT ID NAME DOMAIN CONNECTIONS SLOTS GROUPS DONE NOTE"}
	for _, r := range rows {
		out.add(r.What, r.ID, r.Name, r.Domain, show(r.Connections), show(r.Slots), show(r.Groups), r.Done, r.Note)
	}
	return errors.Join(a.print(rows, out), err)
}

// leaving returns the instances that are published or announce themselves as
// leaving.
func (f *fleet) leaving() (rows []drainRow) {
	owned := make(map[snapshot.InstanceID]int)
	announced := make(map[snapshot.InstanceID]string)
	answered := make(map[snapshot.InstanceID]bool)
	for _, ans := range f.answers {
		if ans.Result == nil {
			continue
		}
		answered[ans.Result.Self] = true
		announced[ans.Result.Self] = ans.Result.State.String()
		for _, g := range ans.Result.Groups {
			if g.Role == "owner" {
				owned[ans.Result.Self]++
			}
		}
	}
	for _, i := range sorted(f.snapshot.Instances) {
		if !i.Leaving && announced[i.ID] != "leaving" {
			continue
		}
		row := drainRow{What: "instance", ID: uint32(i.ID), Name: i.Name, Domain: f.snapshot.Domains[i.Domain].Name}
		if n := owned[i.ID]; answered[i.ID] {
			row.Groups, row.Done = &n, n == 0
		} else {
			row.Note = "not asked or not reachable"
		}
		rows = append(rows, row)
	}
	return rows
}

func show[T any](p *T) any {
	if p == nil {
		return ""
	}
	return *p
}

func orDash(id snapshot.InstanceID) any {
	if id == 0 {
		return ""
	}
	return id
}
