package group_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egrettack.example/core/group"
	"egrettack.example/core/message"
)

// Guards against slots that stay in use until the idle time-out because the end
// of their requests was not seen here, as after a partition, and against reports
// that release slots of requests that may be running or waiting.
func TestLoadReportReleasesSlots(t *testing.T) {
	cases := map[string]struct {
		load  float64
		quiet time.Duration // since the last packet of the requests
		age   time.Duration // of the report
		want  int
	}{
		"idle host":               {load: 0, quiet: 6 * time.Second, want: 0},
		"one of two runs":         {load: 0.5, quiet: 6 * time.Second, want: 1},
		"full host may queue":     {load: 1, quiet: 6 * time.Second, want: 3},
		"requests are recent":     {load: 0, quiet: 4 * time.Second, want: 3},
		"the report is too old":   {load: 0, quiet: 10 * time.Second, age: 4 * time.Second, want: 3},
		"just within both bounds": {load: 0, quiet: 5100 * time.Millisecond, age: 2900 * time.Millisecond, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := defaultFleet(1)
			tab := f.table(group.Config{})
			for n := range 3 {
				open(t, tab, 0, lookup, n)
			}
			tab.ApplyLoadReport(c.quiet-c.age, 1, message.LoadReport{Load: c.load})
			for range 200 {
				tab.Tick(c.quiet)
			}
			g.Expect(tab.Stats(c.quiet).Hosts[0].Slots).To(Equal(c.want))
			// Data shows that a request whose slot was released is still in progress.
			data := ack(lookup, 0, 100)
			data.Packet.PayloadLen = 100
			tab.Decide(c.quiet, data)
			g.Expect(tab.Stats(c.quiet).Hosts[0].Slots).To(BeNumerically(">=", min(c.want+1, 1)))
		})
	}
}

// Guards against flooding a host that always reports that it is idle. The number
// of slots released per minute is limited to the host's slots and queue.
func TestReleasedSlotsAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := defaultFleet(1)
	tab := f.table(group.Config{})
	admitted := 0
	for now := time.Duration(0); now < 50*time.Second; now += time.Second {
		tab.ApplyLoadReport(now, 1, message.LoadReport{Load: 0})
		for range 200 {
			tab.Tick(now)
		}
		if tab.Decide(now, syn(lookup, admitted, 100)).Verdict == group.Forward {
			tab.Decide(now, ack(lookup, admitted, 100))
			admitted++
		}
	}
	// Two slots and two queue places, released once. The idle time-out of the
	// kind ends each request after 30 s, so all of them are used a second time.
	g.Expect(admitted).To(BeNumerically("<=", 16))
}
