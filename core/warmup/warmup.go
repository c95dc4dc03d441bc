// Package warmup limits the new flows that a backend server gets while it warms up.
// Its rate is divided among a few instances of its failure domain by a rule that each
// instance computes for itself, so that all instances together keep the limit without
// shared state. The package has no clock and does no I/O.
package warmup

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxOwners is the number of instances among which the rate of a server is divided. An
// instance that does not know one of them takes itself for one instead, and adds its part
// to the rate. Few owners leave most instances, which are not near the first ranks, out of it.
const maxOwners = 3

// window is the time over which a quota of one flow a second or more is counted.
const window = time.Second

// ownerSeed makes the ranking of owners independent of other hashes.
const ownerSeed uint64 = 0x7761726d

// Quota is the number of new flows that one instance may send to one server in any
// period of the given length. The zero value allows none.
type Quota struct {
	Flows  int
	Period time.Duration
}

// QuotaOf returns the quota of one of the members of a server's failure domain. perSecond
// is the number of new flows that the server can take in any second while it warms up;
// the members' order does not matter. The quotas of all members add up to perSecond at most.
func QuotaOf(server uint64, perSecond float64, self netip.Addr, members []netip.Addr) Quota {
	if perSecond <= 0 || math.IsNaN(perSecond) {
		return Quota{}
	}
	rank := rankOf(server, self, members)
	if perSecond < 1 {
		if rank > 0 {
			return Quota{}
		}
		return Quota{1, time.Duration(float64(window) / max(perSecond, minRate))}
	}
	total := int(min(perSecond, maxRate))
	owners := min(maxOwners, total, max(len(members), 1))
	if rank >= owners {
		return Quota{}
	}
	flows := total / owners
	if rank < total%owners {
		flows++
	}
	return Quota{flows, window}
}

// Rates outside these limits, in flows per second, are taken as the limits.
const (
	minRate = 0.001
	maxRate = 1e6
)

// rankOf returns the number of members that come before self in the order of a server.
func rankOf(server uint64, self netip.Addr, members []netip.Addr) int {
	own, rank := weight(server, self), 0
	for _, m := range members {
		if m != self && cmp.Or(cmp.Compare(weight(server, m), own), m.Compare(self)) < 0 {
			rank++
		}
	}
	return rank
}

func weight(server uint64, member netip.Addr) uint64 {
	a := member.As16()
	b := binary.BigEndian.AppendUint64(a[:], server^ownerSeed)
	return xxhash.Sum64(b)
}

// Log holds the times of the last new flows that this instance has sent to a server. The
// zero value is empty.
type Log struct{ sent []time.Duration }

// Allows reports whether one more new flow is within the quota.
func (l *Log) Allows(now time.Duration, q Quota) bool { return q.Flows > 0 && now >= l.AllowsAt(q) }

// AllowsAt returns the time from which one more new flow is within the quota, unless others are
// added before. It does not come if the quota allows none.
func (l *Log) AllowsAt(q Quota) time.Duration {
	switch {
	case q.Flows <= 0:
		return math.MaxInt64
	case len(l.sent) < q.Flows:
		return 0
	}
	return l.sent[len(l.sent)-q.Flows] + q.Period
}

// Add adds a new flow, and forgets those that no longer count towards the quota.
func (l *Log) Add(now time.Duration, q Quota) {
	l.sent = slices.DeleteFunc(l.sent, func(at time.Duration) bool { return now-at >= q.Period })
	l.sent = append(l.sent, now)
}
