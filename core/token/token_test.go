package token

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against servers that share a token, and against a change of the tokens,
// which instances of different versions derive side by side.
func TestForServer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ForServer(1)).NotTo(Equal(ForServer(2)))
	g.Expect(ForServer(0x9a05b196cd)).To(Equal(Token(489580122)))
	g.Expect(ForIncarnation(0x9a05b196cd, 1)).NotTo(Equal(ForIncarnation(0x9a05b196cd, 2)))
	g.Expect(ForIncarnation(0x9a05b196cd, 1777524144506)).To(Equal(Token(1310654348)))
}

// Guards against a server whose token is zero, which SYN packets carry, and
// against far more collisions than random 32-bit numbers have.
func TestCollisions(t *testing.T) {
	g := NewWithT(t)
	seen := map[Token]bool{}
	collisions := 0
	for id := range uint64(20_000) {
		x := ForServer(id)
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
