// Package token derives the affinity tokens that callers return with each
// packet of a flow. With the token any instance can forward the packet without
// flow state.
//
// A server has two tokens. The one that it gets with a SYN comes back with its answer,
// which shows that the server takes the flow, but not that the flow is open there: another
// server may have answered a copy of the SYN. The one that it gets with later packets only
// comes back from the server where the flow is open.
package token

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token identifies a backend server. It stays the same when the server starts
// again under its ID: a server takes flows before its new entry is known, and only
// the server can tell which flows it holds. Zero identifies none.
type Token uint32

// OfSYN returns the token that a SYN carries to the server that t identifies.
func (t Token) OfSYN() Token { return ^t }

// Identity is the part that the two tokens of a server have in common.
type Identity uint32

// Identity returns what identifies the server of a token.
func (t Token) Identity() Identity { return Identity(min(t, ^t)) }

// hashSeed keeps tokens independent of the other hashes that egrettack computes.
const hashSeed uint64 = 0x746f6b656e

// ForServer returns the token of a backend server. All instances derive the same
// token without coordination. The probability that any two of n servers share an
// identity is n²/2³²: 0.29% at 3,500 servers.
func ForServer(server uint64) Token {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], hashSeed)
	binary.BigEndian.PutUint64(b[8:], server)
	return fold(xxhash.Sum64(b[:]))
}

// ForIncarnation returns the token that the former release of egrettack gave to the
// backend server that started at the given time in Unix milliseconds. Instances of
// both releases run side by side during an upgrade.
func ForIncarnation(server uint64, started int64) Token {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], hashSeed)
	binary.BigEndian.PutUint64(b[8:], server)
	binary.BigEndian.PutUint64(b[16:], uint64(started))
	return fold(xxhash.Sum64(b[:]))
}

// fold returns 32 bits of a hash. Neither they nor their complement are zero.
func fold(sum uint64) Token {
	if t := Token(sum ^ sum>>32); t != 0 && ^t != 0 {
		return t
	}
	return 1
}
