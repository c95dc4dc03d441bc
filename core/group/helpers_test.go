package group_test

import (
	"fmt"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

const (
	feed snapshot.KindID = iota + 1
	lookup
	probe // UDP
)

// kinds returns the kinds of the service that most tests use.
func kinds() []*snapshot.Kind {
	return []*snapshot.Kind{
		{
			ID: feed, Name: "feed", Class: 1, Share: 0.5, Ceiling: 0.9,
			Occupies: snapshot.OccupiesConnection, IdleTimeout: time.Hour, Idempotent: true,
		},
		{
			ID: lookup, Name: "lookup", Class: 0, Share: 0.5, Ceiling: 1,
			Occupies: snapshot.OccupiesSlot, Deadline: time.Second, ServiceTime: 12 * time.Millisecond,
			IdleTimeout: 30 * time.Second, Idempotent: true,
		},
		{
			ID: probe, Name: "probe", Class: 2, Share: 0, Ceiling: 0.5,
			Occupies: snapshot.OccupiesConnection, IdleTimeout: 5 * time.Second, Idempotent: true,
		},
	}
}

// fleet describes the hosts of one group.
type fleet struct {
	ids               []snapshot.HostID
	slots, queue, max int
	draining          map[snapshot.HostID]bool
	kinds             []*snapshot.Kind
	version           snapshot.Version
}

func defaultFleet(n int) fleet {
	f := fleet{slots: 2, queue: 2, max: 100, kinds: kinds(), draining: map[snapshot.HostID]bool{}}
	for i := range n {
		f.ids = append(f.ids, snapshot.HostID(i+1))
	}
	return f
}

func (f *fleet) snapshot() (*snapshot.Snapshot, *snapshot.Group) {
	f.version++
	in := snapshot.Input{
		Version:   f.version,
		GroupSize: 32,
		Domains:   []snapshot.Domain{{ID: 1, Name: "north"}},
		Services:  []snapshot.Service{{ID: 7, Name: "register", Kinds: f.kinds}},
	}
	for _, id := range f.ids {
		h := snapshot.Host{
			ID: id, Name: fmt.Sprint("r", id), Domain: 1, Service: 7,
			Slots: f.slots, QueueLimit: f.queue, ConnectionLimit: f.max,
		}
		if f.draining[id] {
			h.State = snapshot.HostDraining
		}
		in.Hosts = append(in.Hosts, h)
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		panic(err)
	}
	g := s.Groups[snapshot.GroupID{Service: 7, Domain: 1}]
	if g == nil {
		g = &snapshot.Group{ID: snapshot.GroupID{Service: 7, Domain: 1}}
	}
	return s, g
}

func (f *fleet) table(c group.Config) *group.Table {
	c.Snapshot, c.Group = f.snapshot()
	if c.Epoch == 0 {
		c.Epoch = 1
	}
	return group.New(0, c)
}

func key(kind snapshot.KindID, n int) flow.Key {
	k := flow.Key{Src: flow.Addr(0x0a000000 + n>>14), SrcPort: uint16(1024 + n&0x3fff), Dst: 0x0a090001, DstPort: 7000 + uint16(kind), Proto: flow.TCP}
	if kind == probe {
		k.Proto = flow.UDP
	}
	return k
}

func request(kind snapshot.KindID, n int, flags flow.Flags, seq, ack uint32, size uint16) *group.Request {
	p := &flow.Packet{Key: key(kind, n), PayloadLen: size}
	if kind != probe {
		p.Flags, p.Seq, p.Ack = flags, seq, ack
	}
	return &group.Request{Packet: p, Kind: kind}
}

func syn(kind snapshot.KindID, n int, isn uint32) *group.Request {
	return request(kind, n, flow.SYN, isn, 0, 0)
}

func ack(kind snapshot.KindID, n int, isn uint32) *group.Request {
	return request(kind, n, flow.ACK, isn+1, 5001, 0)
}

func withOp(r *group.Request, a group.Op) *group.Request {
	r.Op = a
	return r
}

// open opens flow n of the kind and fails the test when it is not forwarded.
func open(t testing.TB, tab *group.Table, now time.Duration, kind snapshot.KindID, n int) snapshot.HostID {
	t.Helper()
	d := tab.Decide(now, syn(kind, n, 100))
	if d.Verdict != group.Forward {
		t.Fatalf("flow %d: got verdict %d (%s), want Forward", n, d.Verdict, d.Reason)
	}
	if kind != probe {
		tab.Decide(now, ack(kind, n, 100))
	}
	return d.Host
}

// ackOf returns the confirmation of a batch by the backup.
func ackOf(b *message.CopyBatch) message.CopyAck {
	return message.CopyAck{Group: b.Group, Epoch: b.Epoch, Seq: b.Seq}
}
