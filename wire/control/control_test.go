package control

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"egrettack.example/core/flow"
	"egrettack.example/core/message"
	"egrettack.example/core/snapshot"
)

func key(id uint16) Key {
	return Key{ID: id, Secret: bytes.Repeat([]byte{byte(id)}, MinSecretLen)}
}

func codec(t testing.TB, keys ...Key) *Codec {
	t.Helper()
	c, err := NewCodec(keys)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// encode appends the datagram that carries m to instance 8.
func encode(t testing.TB, c *Codec, dst []byte, m *Message) []byte {
	t.Helper()
	b, err := c.Append(dst, 8, m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var (
	groupA      = snapshot.GroupID{Service: 7, Domain: 2, Index: 3}
	groupB      = snapshot.GroupID{Service: 7, Domain: 1, Index: 1}
	sampleKey   = flow.Key{Src: 0xC0000201, Dst: 0x0A090001, SrcPort: 40000, DstPort: 7002, Proto: flow.TCP}
	sampleEntry = message.Entry{Key: sampleKey, Host: 3500, Kind: 2, ISN: 1 << 31, Established: true, Closing: true, Ended: true, Age: 3 * time.Hour}
)

func samples() []*Message {
	return []*Message{
		{From: 4, Boot: 1 << 60, Seq: 9, Heartbeat: &message.Heartbeat{
			From: 4, Boot: 1 << 60, Seq: 9, State: message.Leaving, Version: 1 << 40,
			Claims:        []message.Claim{{Group: groupA, Epoch: 5}, {Group: groupB, Epoch: 1}},
			ForeignCounts: []message.HostCount{{Host: 3, Connections: 20, Slots: 2}},
			Interval:      1200 * time.Millisecond, Unranked: []snapshot.InstanceID{5, 420},
			LostClaims: []message.Claim{{Group: groupA, Epoch: 4}},
			Moves: []snapshot.Move{{
				Endpoint: snapshot.Endpoint{Addr: 0x0A090001, Port: 7002, Proto: flow.TCP}, From: 7, To: 8, Version: 1 << 40,
			}},
		}},
		{From: 4, Boot: 1 << 60, Seq: 10, Learn: &message.Learn{From: 4, Group: groupA, Entry: sampleEntry, HeldBy: groupB}},
		{From: 4, Boot: 1 << 60, Seq: 11, Copies: &message.CopyBatch{
			From: 4, Group: groupA, Epoch: 5, Seq: 77, Base: []snapshot.HostID{1, 2, 3500},
			Entries: []message.Entry{sampleEntry, {Key: sampleKey}}, Ended: []flow.Key{sampleKey},
		}},
		{From: 4, Boot: 1 << 60, Seq: 12, CopyAck: &message.CopyAck{From: 4, Group: groupB, Epoch: 5, Seq: 77}},
	}
}

// Guards against fields that are lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	c := codec(t, key(1))
	for _, m := range samples() {
		b := encode(t, c, []byte("kept"), m)
		if got, err := c.Read(b[len("kept"):], 8); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: got %+v, %v, want %+v", m.Type(), got, err, m)
		}
	}
}

// Guards against a field that is added to a message but not to its encoding.
// TestRoundTrip detects this only if its samples set every field.
func TestSamplesSetEveryField(t *testing.T) {
	var check func(path string, v reflect.Value)
	check = func(path string, v reflect.Value) {
		switch v.Kind() {
		case reflect.Pointer:
			check(path, v.Elem())
		case reflect.Slice:
			if v.Len() == 0 {
				t.Errorf("sample leaves slice %s empty", path)
				return
			}
			check(path, v.Index(0))
		case reflect.Struct:
			for i := range v.NumField() {
				check(path+"."+v.Type().Field(i).Name, v.Field(i))
			}
		default:
			if v.IsZero() {
				t.Errorf("sample leaves field %s zero", path)
			}
		}
	}
	for _, m := range samples() {
		for _, body := range []any{m.Heartbeat, m.Learn, m.Copies, m.CopyAck} {
			if v := reflect.ValueOf(body); !v.IsNil() {
				check(v.Type().Elem().Name(), v)
			}
		}
	}
}

// Guards against accepting a datagram that was not signed with a configured key,
// was altered, or was meant for another instance.
func TestReadRejects(t *testing.T) {
	c := codec(t, key(1), key(2))
	b := encode(t, c, nil, samples()[0])
	if _, err := c.Read(b, 9); !errors.Is(err, ErrTag) {
		t.Errorf("datagram for another instance: got %v, want ErrTag", err)
	}
	if _, err := codec(t, key(3)).Read(b, 8); !errors.Is(err, ErrKey) {
		t.Errorf("unknown key: got %v, want ErrKey", err)
	}
	if _, err := c.Read(b[:headerLen+tagLen-1], 8); !errors.Is(err, ErrLength) {
		t.Errorf("short datagram: got %v, want ErrLength", err)
	}
	for i := range b {
		flipped := bytes.Clone(b)
		flipped[i] ^= 1
		if _, err := c.Read(flipped, 8); err == nil {
			t.Errorf("datagram with byte %d altered was accepted", i)
		}
	}
}

// Guards against a key rotation in which instances reject each other's datagrams.
func TestRotation(t *testing.T) {
	before, both, after := codec(t, key(1)), codec(t, key(2), key(1)), codec(t, key(2))
	for _, c := range []struct {
		name     string
		from, to *Codec
		want     error
	}{
		{"old to both", before, both, nil},
		{"both to new", both, after, nil},
		{"both to old", both, before, ErrKey},
	} {
		if _, err := c.to.Read(encode(t, c.from, nil, samples()[0]), 8); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against accepting an invalid list of keys.
func TestNewCodecRejects(t *testing.T) {
	for name, keys := range map[string][]Key{
		"no keys": nil, "duplicate ID": {key(1), key(1)}, "short secret": {{ID: 1, Secret: []byte("short")}},
	} {
		if _, err := NewCodec(keys); err == nil {
			t.Errorf("%s: NewCodec returned no error", name)
		}
	}
}

// Guards against heartbeats that are larger than the control traffic budget for
// 60 peers assumes: 90 bytes on the wire, 28 of which are IP and UDP headers.
func TestHeartbeatSize(t *testing.T) {
	h := &message.Heartbeat{From: 420, Boot: 1 << 60, Seq: 1 << 20, State: message.Ready, Version: 1 << 20, Interval: 1200 * time.Millisecond}
	if n := len(encode(t, codec(t, key(1)), nil, &Message{Heartbeat: h})); n > 90-28 {
		t.Fatalf("heartbeat has %d bytes, limit is %d", n, 90-28)
	}
}

// Guards against accepting a datagram twice and against rejecting reordered ones.
func TestReplayFilter(t *testing.T) {
	hb := func(boot, seq uint64) *Message {
		return &Message{From: 4, Boot: boot, Seq: seq, Heartbeat: &message.Heartbeat{}}
	}
	ack := func(boot, seq uint64) *Message {
		return &Message{From: 4, Boot: boot, Seq: seq, CopyAck: &message.CopyAck{}}
	}
	filter := NewReplayFilter()
	for i, c := range []struct {
		m    *Message
		want error
	}{
		{ack(10, 0), ErrReplay},
		{ack(10, 1), nil},
		{ack(10, 3), nil},
		{ack(10, 2), nil},
		{ack(10, 2), ErrReplay},
		{ack(10, 3), ErrReplay},
		{ack(10, 1), ErrReplay},
		{hb(10, 5), nil},
		{hb(10, 4), ErrReplay}, // an older heartbeat is outdated
		{hb(10, 6), nil},
		{ack(10, 67), nil},
		{ack(10, 4), nil},
		{ack(10, 66), nil},
		{ack(10, 66), ErrReplay},
		{ack(10, 200), nil},
		{ack(10, 135), ErrReplay}, // below the window
		{ack(10, 136), nil},
		{hb(9, 100), ErrOldBoot},
		{hb(11, 1), nil},
		{ack(11, 1), nil},
		{ack(10, 300), ErrOldBoot},
	} {
		if err := filter.Accept(c.m); !errors.Is(err, c.want) {
			t.Errorf("datagram %d: got %v, want %v", i, err, c.want)
		}
	}
}

// Guards against panics and decoding errors on bodies of another release. The
// test signs each input, since random input would never have a valid tag.
func FuzzRead(f *testing.F) {
	c := codec(f, key(1))
	for _, m := range samples() {
		b := encode(f, c, nil, m)
		f.Add(b[:len(b)-tagLen])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := c.Read(b, 8); err == nil {
			t.Fatal("datagram without a valid tag was accepted")
		}
		tag, _ := c.tag(1, b, 8)
		m, err := c.Read(append(bytes.Clone(b), tag[:]...), 8)
		if err != nil {
			return
		}
		again, err := c.Read(encode(t, c, nil, m), 8)
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("decoded %+v, after encoding again %+v, %v", m, again, err)
		}
	})
}

func BenchmarkHeartbeat(b *testing.B) {
	c := codec(b, key(1))
	m := samples()[0]
	raw := encode(b, c, nil, m)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		var buf []byte
		for b.Loop() {
			buf, _ = c.Append(buf[:0], 8, m)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := c.Read(raw, 8); err != nil {
				b.Fatal(err)
			}
		}
	})
}
