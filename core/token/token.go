// Package token derives the affinity tokens that callers return with each
// packet of a flow. With the token any instance can forward the packet without
// flow state.
package token

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Token identifies one incarnation of a backend server, the time from one start
// to the next. Zero identifies none.
type Token uint32

// hashSeed keeps tokens independent of the other hashes that egrettack computes.
const hashSeed uint64 = 0x746f6b656e

// ForServer returns the token of the backend server that started at the given
// time in Unix milliseconds. All instances derive the same token without
// coordination. The probability that any two of n servers share a token is
// n²/2³³: 0.14% at 3,500 servers.
func ForServer(server uint64, started int64) Token {
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], hashSeed)
	binary.BigEndian.PutUint64(b[8:], server)
	binary.BigEndian.PutUint64(b[16:], uint64(started))
	sum := xxhash.Sum64(b[:])
	if t := Token(sum ^ sum>>32); t != 0 {
		return t
	}
	return 1
}
