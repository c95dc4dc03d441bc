package token

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against instances that derive different tokens for the same
// incarnation of a server, and against a token that stays the same when a
// server restarts.
func TestForServer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ForServer(0x9a05b196cd, 1777524144506)).To(Equal(ForServer(0x9a05b196cd, 1777524144506)))
	g.Expect(ForServer(0x9a05b196cd, 1)).NotTo(Equal(ForServer(0x9a05b196cd, 2)))
	g.Expect(ForServer(1, 7)).NotTo(Equal(ForServer(2, 7)))
}

// Guards against a server whose token is zero, which SYN packets carry, and
// against far more collisions than random 32-bit numbers have.
func TestCollisions(t *testing.T) {
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
	// Among 20,000 random 32-bit numbers the expected number of collisions is
	// 0.05.
	g.Expect(collisions).To(BeNumerically("<=", 1))
}
