package journal

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"egrettack.example/core/engine"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

// Guards against changes that leave no line, and against lines without a change.
func TestCompare(t *testing.T) {
	id := snapshot.GroupID{Service: 7, Domain: 1}
	status := func(state message.State, peer message.State, role string, host group.HostStats) engine.Status {
		return engine.Status{
			State: state, Peers: []engine.PeerStatus{{Instance: 2, State: peer}},
			Groups: []engine.GroupStatus{{Group: id, Role: role, Epoch: 1, Stats: group.Stats{Hosts: []group.HostStats{host}}}},
		}
	}
	up, down := group.HostStats{Host: 5, Usable: true}, group.HostStats{Host: 5, Why: "dead"}
	moved := up
	moved.Connections = 9
	var out bytes.Buffer
	j := New(slog.New(slog.NewTextHandler(&out, nil)))
	for i, c := range []struct {
		s    engine.Status
		want []string // part of each line
	}{
		{status(message.Joining, message.Ready, "pulling", up), []string{`"own state" state=joining`, "peer=2 state=ready", "role=pulling"}},
		{status(message.Joining, message.Ready, "pulling", moved), nil},
		{status(message.Ready, message.Ready, "owner", up), []string{"state=ready", "role=owner"}},
		{status(message.Ready, message.Suspected, "owner", down), []string{"state=suspected", "host=5 group=7.1.0 usable=false why=dead"}},
		{status(message.Ready, message.Suspected, "owner", up), []string{"usable=true"}},
		{engine.Status{State: message.Ready, Stale: true}, []string{"stale=true", "no longer known", "no longer held"}},
	} {
		out.Reset()
		j.Compare(c.s)
		lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
		if out.Len() == 0 {
			lines = nil
		}
		if len(lines) != len(c.want) {
			t.Fatalf("step %d: %q, want %q", i, lines, c.want)
		}
		for k, w := range c.want {
			if !strings.Contains(lines[k], w) {
				t.Errorf("step %d: %q, want %q", i, lines[k], w)
			}
		}
	}
}
