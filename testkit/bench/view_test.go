package bench

import (
	"fmt"
	"testing"
	"time"

	"egrettack.example/core/engine"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// sizedInput has 7 domains, a service for each group of a domain, and hosts in
// groups of five.
func sizedInput(instances, services int) snapshot.Input {
	in := snapshot.Input{Version: 1}
	for d := range LargeDomains {
		in.Domains = append(in.Domains, snapshot.Domain{ID: snapshot.DomainID(d + 1), Name: largeDomain(d)})
	}
	for i := range instances {
		in.Instances = append(in.Instances, snapshot.Instance{
			ID: snapshot.InstanceID(i + 1), Domain: snapshot.DomainID(i%LargeDomains + 1),
		})
	}
	for s := range services {
		in.Services = append(in.Services, snapshot.Service{ID: snapshot.ServiceID(s + 1), Name: largeService(s)})
		for i := range LargeDomains * hostsOfGroup {
			in.Hosts = append(in.Hosts, snapshot.Host{
				ID:     snapshot.HostID(len(in.Hosts) + 1),
				Domain: snapshot.DomainID(i%LargeDomains + 1), Service: snapshot.ServiceID(s + 1),
				Slots: 2, ConnectionLimit: 2000,
			})
		}
	}
	return in
}

// BenchmarkViewChange is the processor time of one heartbeat that changes the
// sender's claims, against the number of instances and of groups. Each such
// heartbeat makes its receiver rank the instances of all groups anew; a domain
// that boots or a peer that dies brings many. In-process engine.
func BenchmarkViewChange(b *testing.B) {
	for _, c := range []struct{ instances, services int }{{42, 10}, {105, 25}, {210, 50}, {420, 100}} {
		b.Run(fmt.Sprintf("instances=%d", c.instances), func(b *testing.B) {
			in := sizedInput(c.instances, c.services)
			s, err := snapshot.New(in, nil)
			if err != nil {
				b.Fatal(err)
			}
			e := engine.New(0, engine.Config{Self: 1, Domain: 1, Boot: 1})
			e.SetSnapshot(0, s)
			h := message.Heartbeat{From: LargeDomains + 1, Boot: 1, State: message.Ready, Version: 1, Interval: time.Second}
			group := snapshot.GroupID{Service: 1, Domain: 1}
			b.ReportAllocs()
			for b.Loop() {
				h.Seq++
				h.Claims = []message.Claim{{Group: group, Epoch: h.Seq}}
				e.Heartbeat(time.Second, &h)
			}
			b.ReportMetric(float64(c.services*LargeDomains), "groups")
		})
	}
}
