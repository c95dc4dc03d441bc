package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egrettack.example/core/engine"
	"egrettack.example/core/flow"
	"egrettack.example/core/group"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/node/rpc"
	"egrettack.example/settings/daemon"
	"egrettack.example/settings/published"
)

const secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

var nodes = map[string]string{
	"root":                 `{"level": "root", "domains": {"north": {"number": 1, "region": "west"}}}`,
	"west":                 "{\"level\": \"district\",\n\"work\": {\"class\": 2}}",
	"west/register":        `{"level": "service", "number": 7}`,
	"west/register/lookup": `{"level": "kind", "number": 2, "addresses": ["10.9.0.1:7002/tcp"]}`,
}

// directory writes the tree, with one text replaced.
func directory(t *testing.T, old, text string) string {
	t.Helper()
	dir := t.TempDir()
	for path, content := range nodes {
		file := filepath.Join(dir, path+".jsonc")
		if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(strings.Replace(content, old, text, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

type backend struct {
	values published.Values
	status engine.Status
}

func (b *backend) Keys() []daemon.Key {
	k, _ := daemon.ParseKey("1:" + secret)
	return []daemon.Key{k}
}
func (b *backend) SnapshotSince(v snapshot.Version) published.Values { return b.values.Since(v) }
func (b *backend) Pull(message.PullRequest) (r message.PullReply, err error) {
	return r, nil
}
func (b *backend) Status() engine.Status     { return b.status }
func (b *backend) Explain(k flow.Key) string { return "host r1 for " + k.String() }

// instance serves a small installation: r1 drains with 3 connections open, r2
// has none, and instance 1 leaves with one group to hand over. The second
// listed instance is not reachable.
func instance(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	b := &backend{status: engine.Status{
		Self: 1, State: message.Leaving, Version: 5, Peers: []engine.PeerStatus{{Instance: 2, State: message.Suspected}},
		Groups: []engine.GroupStatus{{Role: "owner", Epoch: 4, Stats: group.Stats{Flows: 3, Hosts: []group.HostStats{
			{Host: 1, Connections: 3, Slots: 2, Why: "draining"}, {Host: 2, Usable: true, Weight: 1.5},
		}}}},
	}}
	v := published.Values{Revision: 5, Full: true, Values: map[string]string{
		"hosts/north/west.register": `{"hosts": [{"id": 1, "name": "r1", "tunnel": "127.0.0.1:5001", "state": "draining"},
			{"id": 2, "name": "r2", "tunnel": "127.0.0.1:5002"}]}`,
		"instances/north": `{"instances": [
			{"id": 1, "name": "n1", "data": "127.0.0.1:1", "control": "127.0.0.1:2", "rpc": "` + l.Addr().String() + `", "leaving": true},
			{"id": 2, "name": "n2", "data": "127.0.0.1:1", "control": "127.0.0.1:2", "rpc": "` + dead.Addr().String() + `"}]}`,
	}}
	for path, text := range nodes {
		v.Values["settings/"+path] = text
	}
	if b.values, err = published.Merge(published.Values{}, v); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- rpc.Serve(ctx, l, b) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

// Guards against commands that print something else, or end with another exit
// code, than documented.
func TestCommands(t *testing.T) {
	good, changed := directory(t, "", ""), directory(t, `"class": 2`, `"class": 3`)
	bad := directory(t, `"class": 2`, `"class": "2"`)
	addr := instance(t)
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(`{"id": 1, "secret": "`+secret+`"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	ask := "--instance " + addr + " --key-file " + keyFile + " "
	for _, c := range []struct {
		args string
		code int
		want []string // parts of the output, spaces folded
	}{
		{"check " + good, 0, []string{"fine: 4 nodes, 1 services, 1 kinds of work"}},
		{"check " + bad, 1, []string{"west.jsonc:2: work.class: wrong unit"}},
		{"--json check " + bad, 1, []string{`"ok": false`, `"file": "west.jsonc", "line": 2, "path": "work.class"`}},
		{"check " + good + "/none", 1, []string{"no such file"}},
		{"explain west/register/lookup --dir " + good, 0, []string{"work.class 2 west west.jsonc:2", "work.deadline 1s - default"}},
		{"explain west/none --dir " + good, 1, []string{`no node "west/none"`}},
		{"explain root --dir " + bad, 1, []string{"west.jsonc:2: work.class"}},
		{ask + "explain west/register/lookup", 0, []string{"work.class 2 west settings/west:2"}},
		{"diff " + good + " " + good, 0, []string{"NODE FIELD OLD ORIGIN NEW ORIGIN"}},
		{"diff " + good + " " + changed, 0, []string{"west/register/lookup work.class 2 west.jsonc:2 3 west.jsonc:2"}},
		{"diff " + good + " " + bad, 1, []string{"west.jsonc:2: work.class"}},
		{ask + "status", 0, []string{addr + " 1 leaving false 5 1 0 3 0 0 1 -"}},
		{ask + "--json status", 0, []string{`"state": "leaving"`, `"owned_groups": 1`}},
		{ask + "--all status", 3, []string{addr + " 1 leaving", "connection refused", "an instance was not reachable"}},
		{ask + "--all --domain east status", 2, []string{`unknown domain "east"`}},
		{ask + "hosts", 0, []string{
			"1 r1 north west/register draining 1 3 2 0 false draining", "2 r2 north west/register ready 1 0 0 1.5 true -",
		}},
		{ask + "drain-status", 0, []string{"host 1 r1 north 3 2 - false -", "instance 1 n1 north - - 1 false -"}},
		{ask + "flow tcp/10.1.2.3:40000-10.9.0.1:7002", 0, []string{"host r1 for tcp/10.1.2.3:40000-10.9.0.1:7002"}},
		{ask + "flow 10.1.2.3", 2, []string{`"10.1.2.3" is not a 5-tuple`}},
		{"--instance 127.0.0.1:1 --key 1:" + secret + " status", 3, []string{"not reachable"}},
		{"--instance " + addr + " --key 2:" + secret + " status", 1, []string{"wrong key: the peer did not accept key 2"}},
		{"--instance " + addr + " status", 2, []string{"--key-file or --key is needed"}},
		{"--instance " + addr + " --key 1:12 status", 2, []string{"a secret has 64 hex digits"}},
		{"status", 2, []string{"--instance is needed"}},
		{"check", 2, []string{"DIR"}},
		{"check " + good + " more", 2, []string{`unexpected argument "more"`}},
		{"unknown", 2, []string{"unknown"}},
		{"--loud check " + good, 2, []string{"loud"}},
		{"", 2, []string{"check"}},
		{"--help", 0, []string{"drain-status", "Exit codes: 0 fine"}},
	} {
		var out bytes.Buffer
		code := run(strings.Fields(c.args), &out, &out)
		text := strings.Join(strings.Fields(out.String()), " ")
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s", c.args, code, c.code, text)
		}
		for _, want := range c.want {
			if !strings.Contains(text, want) {
				t.Errorf("%s: no %q in: %s", c.args, want, out.String())
			}
		}
	}
}

// Guards against JSON output that programs cannot read.
func TestJSON(t *testing.T) {
	dir, addr := directory(t, "", ""), instance(t)
	ask := "--json --instance " + addr + " --key 1:" + secret + " "
	for _, args := range []string{
		"--json check " + dir, "--json explain west --dir " + dir, "--json diff " + dir + " " + dir,
		ask + "status", ask + "hosts", ask + "drain-status", ask + "flow udp/10.1.2.3:40000-10.9.0.1:7002", ask + "explain root",
	} {
		var out, errOut bytes.Buffer
		if code := run(strings.Fields(args), &out, &errOut); code != 0 || !json.Valid(out.Bytes()) || errOut.Len() > 0 {
			t.Errorf("%s: exit code %d, output %s, errors %s", args, code, out.String(), errOut.String())
		}
	}
}
