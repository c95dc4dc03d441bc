package rpc_test

import (
	"encoding/json"
	"testing"

	"egrettack.example/core/engine"
	"egrettack.example/core/group"
)

// Guards against a renamed field of the status reply: egrettackctl of another
// release reads the fields by these names.
func TestStatusFieldNames(t *testing.T) {
	got, err := json.Marshal(engine.Status{
		Peers:  []engine.PeerStatus{{}},
		Groups: []engine.GroupStatus{{Stats: group.Stats{Hosts: []group.HostStats{{}}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Self":0,"State":0,"Stale":false,"Version":0,"Unclaimed":0,` +
		`"Peers":[{"Instance":0,"State":0,"Version":0,"Heard":0}],` +
		`"Groups":[{"Group":{"Service":0,"Domain":0,"Index":0},"Role":"","Epoch":0,"Copies":0,` +
		`"Stats":{"Flows":0,"Backlog":0,"Hosts":[{"Host":0,"Connections":0,"Slots":0,"Weight":0,"Usable":false,"Why":""}]}}]}`
	if string(got) != want {
		t.Errorf("status is encoded as\n%s\nwant\n%s", got, want)
	}
}
