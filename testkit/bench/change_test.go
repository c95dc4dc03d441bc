package bench

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/rank"
	"egrettack.example/core/snapshot"
)

// youngAge is the age below which an unplanned death may break a flow.
const youngAge = 2 * time.Second

var feedAt = snapshot.Endpoint{Addr: 1, Port: 7001, Proto: flow.TCP}

// labInput is one service with 15 hosts and 8 instances in the domains.
func labInput(domains int) snapshot.Input {
	in := snapshot.Input{Version: 1}
	for d := range domains {
		in.Domains = append(in.Domains, snapshot.Domain{ID: snapshot.DomainID(d + 1), Name: fmt.Sprintf("d%d", d+1)})
	}
	in.Services = []snapshot.Service{{ID: 1, Name: "register", Kinds: []*snapshot.Kind{
		{ID: 1, Name: "feed", Class: 1, Share: 0.5, Ceiling: 1, IdleTimeout: time.Hour, Endpoints: []snapshot.Endpoint{feedAt}},
	}}}
	for i := range 15 {
		in.Hosts = append(in.Hosts, labHost(i, domains))
	}
	for i := range 8 {
		in.Instances = append(in.Instances, snapshot.Instance{
			ID: snapshot.InstanceID(i + 1), Name: fmt.Sprintf("n%d", i+1), Domain: snapshot.DomainID(i%domains + 1),
		})
	}
	return in
}

func labHost(i, domains int) snapshot.Host {
	return snapshot.Host{
		ID: snapshot.HostID(i + 1), Name: fmt.Sprintf("h%d", i+1), Domain: snapshot.DomainID(i%domains + 1),
		Service: 1, Slots: 2, ConnectionLimit: 2000, QueueLimit: 8, Capacity: 2,
	}
}

// hashAlone is the baseline without state: the host is the first by rendezvous
// hashing of the flow over the hosts that are listed as ready.
func hashAlone(n *Node, p *flow.Packet) Result {
	best, score := snapshot.HostID(0), 0.0
	key := p.Key.Hash(1)
	for _, h := range n.Input.Hosts {
		if s := rank.Score(1, key, uint64(h.ID), 1); h.State == snapshot.HostReady && (best == 0 || s > score) {
			best, score = h.ID, s
		}
	}
	return Result{Host: best}
}

// variants are ways to keep flows, each in-process: the first is a baseline of
// this file, the second the engine with no copy delivered, the third the
// engine as it is.
var variants = []struct {
	name string
	set  func(*Lab)
}{
	{"hash", func(l *Lab) { l.Route = hashAlone }},
	{"base", func(l *Lab) { l.NoCopies = true }},
	{"whole", func(*Lab) {}},
}

// changes are planned unless they end with "death".
var changes = []struct {
	name string
	act  func(*Lab) error
}{
	{"drain-host", func(l *Lab) error {
		return l.Publish(func(in *snapshot.Input) { in.Hosts[0].State = snapshot.HostDraining })
	}},
	{"add-hosts", func(l *Lab) error {
		return l.Publish(func(in *snapshot.Input) {
			in.Hosts = append(in.Hosts, labHost(15, 2), labHost(16, 2))
		})
	}},
	{"stop-instance", func(l *Lab) error { l.Leave(1); return nil }},
	{"add-instance", func(l *Lab) error { return l.Join(9, 1) }},
	{"replace-two", func(l *Lab) error {
		l.Leave(1)
		l.Leave(4)
		return l.Join(9, 1)
	}},
	{"death", func(l *Lab) error { l.Kill(1); return nil }},
	{"drain-and-death", func(l *Lab) error {
		l.Kill(1)
		return l.Publish(func(in *snapshot.Input) { in.Hosts[0].State = snapshot.HostDraining })
	}},
}

// BenchmarkChange counts the feeds that break in the 40 s after a change, with
// a fifth of them opened in the last 4 s before it. oldest-s is the age, at the
// change, of the oldest flow that broke, over all runs. In-process engines with
// messages that are not encoded, in virtual time.
func BenchmarkChange(b *testing.B) {
	for _, c := range changes {
		for _, v := range variants {
			for _, n := range []int{300, 2000} {
				b.Run(fmt.Sprintf("%s/%s/flows=%d", c.name, v.name, n), func(b *testing.B) {
					var sum Loss
					for i := range b.N {
						one := runChange(b, uint64(i+1), n, v.set, c.act)
						sum.Older += one.Older
						sum.Younger += one.Younger
						sum.Oldest = max(sum.Oldest, one.Oldest)
					}
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(float64(sum.Older)/float64(b.N), "broken-older")
					b.ReportMetric(float64(sum.Younger)/float64(b.N), "broken-young")
					b.ReportMetric(sum.Oldest.Seconds(), "oldest-s")
				})
			}
		}
	}
}

func runChange(b *testing.B, seed uint64, n int, set func(*Lab), act func(*Lab) error) Loss {
	l, err := NewLab(seed, labInput(2))
	if err != nil {
		b.Fatal(err)
	}
	set(l)
	l.Run(5 * time.Second)
	f := l.NewFeeds(feedAt)
	f.Open(n*4/5, 20*time.Second)
	// Copies of all these flows fit the budget in this time.
	l.Run(20 * time.Second)
	f.Open(n/5, 2*youngAge)
	at := l.Now
	if err := act(l); err != nil {
		b.Fatal(err)
	}
	l.Run(40 * time.Second)
	if !slices.ContainsFunc(f.all, func(k *feedFlow) bool { return k.broken == 0 }) {
		b.Fatal("no feed is up")
	}
	return f.Loss(at, youngAge)
}
