package steer

import "time"

// SYNPatience is the time from a caller's first SYN after which it gives up the flow.
const SYNPatience = 1400 * time.Millisecond

// synTimes are the times from a caller's first SYN to each copy of it.
var synTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// SinceFirstSYN returns the time from the caller's first SYN to this copy of it.
func (p *Packet) SinceFirstSYN() time.Duration { return synTimes[min(p.Retransmits, len(synTimes)-1)] }

// ValidFor returns the time from the first decision on a SYN until its caller sends the
// next copy or gives up, 0 or less if that time has passed. Afterwards another instance
// may have got that copy and opened the flow: the answer to a second placement would lead
// the flow's packets to a server that does not hold it. The answer to an earlier copy may
// still be on its way in any case.
func (p *Packet) ValidFor() time.Duration {
	n := min(p.Retransmits, len(synTimes)-1)
	next := SYNPatience
	if n+1 < len(synTimes) {
		next = synTimes[n+1]
	}
	return next - synTimes[n] - p.Age
}
