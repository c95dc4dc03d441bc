// Package token derives the affinity tokens that callers return with each
// packet of a flow. With the token any instance can forward the packet without
// flow state.
package token

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token identifies a backend server. It stays the same when the server starts
// again under its ID: a server takes flows before its new entry is known, and only
// the server can tell which flows it holds. Zero identifies none.
type Token uint32

// hashSeed keeps tokens independent of the other hashes that egrettack computes.
const hashSeed uint64 = 0x746f6b656e

// ForServer returns the token of a backend server. All instances derive the same
// token without coordination. The probability that any two of n servers share a
// token is n²/2³³: 0.14% at 3,500 servers.
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

// fold returns 32 bits of a hash, never zero.
func fold(sum uint64) Token {
	if t := Token(sum ^ sum>>32); t != 0 {
		return t
	}
	return 1
}
