package token

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against instances that name the same start differently, and against a
// token that does not change when a server starts again.
func TestOf(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ForServer(0x9a05b196cd, 1777524144506)).To(Equal(ForServer(0x9a05b196cd, 1777524144506)))
	g.Expect(ForServer(0x9a05b196cd, 1)).NotTo(Equal(ForServer(0x9a05b196cd, 2)))
	g.Expect(ForServer(1, 7)).NotTo(Equal(ForServer(2, 7)))
}

// Guards against the token of opening packets, zero, naming a server, and
// against collisions far beyond those of a random 32-bit number.
func TestSpread(t *testing.T) {
	g := NewWithT(t)
	seen := map[Token]bool{}
	collisions := 0
	for id := range uint64(20_000) {
		x := ForServer(id, 1_777_524_144_506)
		g.Expect(x).NotTo(BeZero())
		if seen[x] {
			collisions++
		}
		seen[x] = true
	}
	// 20,000 random numbers of 32 bits collide 0.05 times on average.
	g.Expect(collisions).To(BeNumerically("<=", 1))
}
