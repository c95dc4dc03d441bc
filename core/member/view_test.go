package member

import (
	"testing"
	"time"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Guards against an instance that wakes with an old claim and takes a group
// back from the one that has placed its flows meanwhile.
func TestHigherEpochHolds(t *testing.T) {
	in := snapshot.Input{
		Version: 1, Domains: []snapshot.Domain{{ID: 1, Name: "north"}},
		Services: []snapshot.Service{{ID: 7, Name: "register"}},
		Hosts:    []snapshot.Host{{ID: 1, Domain: 1, Service: 7, Slots: 1, ConnectionLimit: 10}},
	}
	for id := snapshot.InstanceID(1); id <= 3; id++ {
		in.Instances = append(in.Instances, snapshot.Instance{ID: id, Domain: 1})
	}
	s, err := snapshot.New(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	group := snapshot.GroupID{Service: 7, Domain: 1}
	for _, c := range []struct {
		name       string
		one, three uint64 // epochs that instances 1 and 3 claim, 0 for none
		want       snapshot.InstanceID
	}{
		{"older claim of the lower number", 4, 5, 3},
		{"older claim of the higher number", 5, 4, 1},
		{"equal epochs", 5, 5, 1},
		{"one claim", 0, 2, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := New(0, Config{Self: 2, Domain: 1, Boot: 1})
			tr.SetSnapshot(0, s)
			for id, epoch := range map[snapshot.InstanceID]uint64{1: c.one, 3: c.three} {
				h := &message.Heartbeat{From: id, Boot: 1, Seq: 1, Version: 1, State: message.Ready}
				if epoch > 0 {
					h.Claims = []message.Claim{{Group: group, Epoch: epoch}}
				}
				tr.HandleHeartbeat(time.Millisecond, h)
			}
			if o := tr.View().Owners[group]; o.Claimant != c.want {
				t.Errorf("instance %d holds the group, want %d", o.Claimant, c.want)
			}
		})
	}
}
