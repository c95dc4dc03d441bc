package bench

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
	"egrettack.example/testkit/layout"
	"egrettack.example/testkit/world"
	"egrettack.example/wire/control"
)

// The design's size: 420 instances before 3,500 hosts behind 500 addresses in 7
// domains. The first instances of the first domain are real; Others speaks for the
// rest.
const (
	LargeDomains   = 7
	LargeServices  = 100
	kindsOfService = 5 // one address each
	hostsOfGroup   = 5 // of one service in one domain
	LargeInstances = 60
)

func largeDomain(d int) string {
	if d == 0 {
		return "north"
	}
	return fmt.Sprintf("d%d", d)
}

func largeService(s int) string { return fmt.Sprintf("district%d/s%d", s%10, s) }

func writeLargeTree(dir string) error {
	domains := make(map[string]any)
	for d := range LargeDomains {
		domains[largeDomain(d)] = map[string]any{"number": d + 1, "region": fmt.Sprintf("r%d", d%2)}
	}
	files := map[string]any{"root": map[string]any{
		"level": "root", "domains": domains, "group_size": hostsOfGroup,
		"work": map[string]any{"idle": "1h", "deadline": "2s", "class": 2, "ceiling": 1, "share": 0.1, "occupies": "connection", "idempotent": true},
		"host": map[string]any{"slots": 2, "connections": 2000, "queue": 8, "warm_up": "2s"},
	}}
	for s := range LargeServices {
		path := largeService(s)
		files[filepath.Dir(path)] = map[string]any{"level": "district"}
		files[path] = map[string]any{"level": "service", "number": s + 1}
		for k := range kindsOfService {
			files[fmt.Sprintf("%s/k%d", path, k)] = map[string]any{
				"level": "kind", "number": k + 1, "addresses": []string{fmt.Sprintf("10.100.%d.%d:7000/tcp", s, k+1)},
			}
		}
	}
	for path, v := range files {
		name := filepath.Join(dir, path+".jsonc")
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			return trace.Wrap(err, "create tree")
		}
		b, err := json.Marshal(v)
		if err != nil {
			return trace.Wrap(err, "encode %s", path)
		}
		if err := os.WriteFile(name, b, 0o644); err != nil {
			return trace.Wrap(err, "write %s", path)
		}
	}
	return nil
}

// largeHosts returns the host list of one service in one domain.
func (c *Cluster) largeHosts(s, d int) map[string]string {
	var l layout.HostList
	for i := range hostsOfGroup {
		l.Hosts = append(l.Hosts, c.hostRecord((d*LargeServices+s)*hostsOfGroup+i))
	}
	return map[string]string{
		layout.HostKey(world.Host{Domain: largeDomain(d), Service: largeService(s)}): layout.Encode(l),
	}
}

// addLarge adds all host lists and the instances of the other domains.
func (c *Cluster) addLarge(set map[string]string) {
	for d := range LargeDomains {
		for s := range LargeServices {
			for k, v := range c.largeHosts(s, d) {
				set[k] = v
			}
		}
		var l layout.InstanceList
		for i := range LargeInstances {
			if d == 0 && i < c.spec.Instances {
				l.Instances = append(l.Instances, layout.NewInstanceRecord(c.World, c.World.Instances[i]))
				continue
			}
			at := c.sink.LocalAddr().(*net.UDPAddr).AddrPort()
			l.Instances = append(l.Instances, layout.InstanceRecord{
				ID: uint32(otherID(d, i)), Name: fmt.Sprintf("o%d-%d", d, i),
				Addresses: layout.Addresses{Data: at, Control: at, RPC: at},
			})
		}
		set["instances/"+largeDomain(d)] = layout.Encode(l)
	}
}

func otherID(d, i int) snapshot.InstanceID { return snapshot.InstanceID(d*LargeInstances + i + 1) }

// otherEvery is the interval between heartbeats of an instance with 59 peers
// and 8 sampled ones.
const otherEvery = 1500 * time.Millisecond

// warmRounds is the number of first rounds that Others sends faster, so that all
// 360 instances of other domains were heard before a measurement: each that is
// heard for the first time costs its receiver a view.
const warmRounds = 80

// Others sends what the listed instances that do not run would send to the real
// ones in each interval: a heartbeat from each of their domain, and 8 sampled
// ones from the other domains. Those of other domains claim the groups there;
// those of the real ones' domain claim none. It returns when ctx is over.
func (c *Cluster) Others(ctx context.Context) error {
	codec, err := c.codec()
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return trace.Wrap(err, "open socket of other domains")
	}
	defer conn.Close()
	o := others{codec: codec, conn: conn, boot: uint64(time.Now().UnixNano())}
	for round := 0; ctx.Err() == nil; round++ {
		_, revision, _ := c.store.Value("settings/root")
		for k, to := range c.World.Instances {
			if err := o.round(to, k, round, len(c.World.Instances), revision); err != nil {
				return err
			}
			pause := otherEvery / time.Duration(len(c.World.Instances))
			if round < warmRounds {
				pause /= 8
			}
			time.Sleep(pause)
		}
	}
	return nil
}

// round sends the heartbeats of one interval to the real instance k. A sender's
// numbers rise by one each round.
func (o *others) round(to world.Instance, k, round, real int, revision uint64) error {
	seq := uint64(round + 1)
	for i := real; i < LargeInstances; i++ {
		if err := o.send(to, 0, i, seq, revision); err != nil {
			return err
		}
	}
	for j := range 8 {
		d := 1 + (round+j)%(LargeDomains-1)
		i := (k + round + 30*(j/(LargeDomains-1))) % LargeInstances
		if err := o.send(to, d, i, seq, revision); err != nil {
			return err
		}
	}
	return nil
}

type others struct {
	codec *control.Codec
	conn  *net.UDPConn
	boot  uint64
}

func (o *others) send(to world.Instance, d, i int, seq, revision uint64) error {
	h := &message.Heartbeat{
		From: otherID(d, i), Boot: o.boot, Seq: seq, State: message.Ready, Version: snapshot.Version(revision), Interval: otherEvery,
	}
	for s := i; d > 0 && s < LargeServices; s += LargeInstances {
		h.Claims = append(h.Claims, message.Claim{
			Group: snapshot.GroupID{Service: snapshot.ServiceID(s + 1), Domain: snapshot.DomainID(d + 1)}, Epoch: 1,
		})
	}
	m := &control.Message{From: h.From, Boot: h.Boot, Seq: h.Seq, Heartbeat: h}
	b, err := o.codec.Append(nil, snapshot.InstanceID(to.ID), m)
	if err != nil {
		return err
	}
	// A datagram that the loopback loses is a lost heartbeat.
	_, _ = o.conn.WriteToUDPAddrPort(b, to.Control)
	return nil
}

// codec returns the codec with the key of the generated settings.
func (c *Cluster) codec() (*control.Codec, error) {
	b, err := os.ReadFile(c.World.Instances[0].Settings)
	if err != nil {
		return nil, trace.Wrap(err, "read settings")
	}
	var v struct {
		Keys []struct {
			ID     uint16 `json:"id"`
			Secret string `json:"secret"`
		} `json:"keys"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, trace.Wrap(err, "decode settings")
	}
	if len(v.Keys) == 0 {
		return nil, trace.NotFound("the settings have no key")
	}
	secret, err := hex.DecodeString(strings.TrimSpace(v.Keys[0].Secret))
	if err != nil {
		return nil, trace.Wrap(err, "decode key")
	}
	return control.NewCodec([]control.Key{{ID: v.Keys[0].ID, Secret: secret}})
}
