package geneve

import (
	"bytes"
	"testing"

	"egrettack.example/core/flow"
)

// A stand-in that misreads options would take relayed packets for other flows.
func TestDecodeSkipsOptions(t *testing.T) {
	inner := make([]byte, 40)
	inner[0], inner[9], inner[33] = 0x45, byte(flow.TCP), byte(flow.SYN)
	inner[21], inner[23] = 7, 9
	plain := Append(nil, 0x123456, inner)
	withOption := append([]byte{2}, plain[1:8]...)
	withOption = append(withOption, make([]byte, 8)...)
	withOption = append(withOption, inner...)
	for name, d := range map[string][]byte{"plain": plain, "option": withOption} {
		vni, got, err := Decode(d)
		if err != nil || vni != 0x123456 || !bytes.Equal(got, inner) {
			t.Errorf("%s: vni %#x, %d bytes, %v", name, vni, len(got), err)
		}
		key, ok := Flow(got)
		if !ok || key.SrcPort != 7 || key.DstPort != 9 || !Opens(got) {
			t.Errorf("%s: flow %v %v", name, key, ok)
		}
	}
}

// Garbage on a tunnel port must not panic.
func TestDecodeRefusesShort(t *testing.T) {
	good := Append(nil, 1, append([]byte{0x45}, make([]byte, 19)...))
	for n := range good {
		if _, _, err := Decode(good[:n]); err == nil {
			t.Errorf("%d bytes were accepted", n)
		}
	}
}
