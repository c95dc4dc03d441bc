package uplink

import "time"

const (
	// The rate is that of the settings, divided or multiplied by maxCorrection at most.
	maxCorrection = 8
	// rateStep is the factor by which the rate is corrected at once, and recovery that by
	// which it returns to that of the settings while nothing speaks against it.
	rateStep = 1.25
	recovery = 1.01
	// adaptInterval is the interval of corrections, and minHandshakes the number of
	// handshakes that one needs.
	adaptInterval = time.Second
	minHandshakes = 8
	// handshakeNoise is the mean time by which handshakes take longer than the shortest one
	// for other reasons than a queue at the link.
	handshakeNoise = 25 * time.Millisecond
	// maxRepeated is the share of the packets with data that callers send again beyond which
	// the link loses packets, and minData the number of packets that shows it.
	maxRepeated = 0.005
	minData     = 200
	// minUtilization is the share of the rate that has to be in use if the link is to explain
	// long handshakes and lost packets.
	minUtilization = 0.1
	// A link of which less than 1/minHeadroom is in use has no queue that explains long
	// handshakes, and one of which less than 1/minLossHeadroom is in use does not overflow.
	minHeadroom     = 4
	minLossHeadroom = 1.25
	// baseInterval is the time for which the shortest handshake counts, in two parts.
	baseInterval = 30 * time.Second
	// The bytes sent are counted in a ring of meterSlots parts of a second.
	meterSlots = 10
	meterSlot  = 100 * time.Millisecond
)

// link is the model of the queue at a link. What is sent enters the queue, which drains at
// the rate of the link. Handshakes show whether the rate is right: their SYN passes the
// queue.
type link struct {
	hint, rate float64 // bytes per second
	backlog    float64 // bytes
	backlogAt  time.Duration
	meter      [meterSlots]float64
	meterAt    int64 // number of the current slot since the origin of time

	adaptedAt          time.Duration
	handshakes         int
	excess, predicted  time.Duration    // sums over the handshakes
	data, repeated     int              // packets with data, and those of them sent again
	shortest           [2]time.Duration // of this interval and the one before, 0 if there is none
	shortestIntervalAt time.Duration
}

func newLink(rate float64) link { return link{hint: rate, rate: rate} }

// drain takes off the backlog what was sent up to now.
func (l *link) drain(now time.Duration) {
	if now > l.backlogAt {
		l.backlog = max(0, l.backlog-(now-l.backlogAt).Seconds()*l.rate)
		l.backlogAt = now
	}
}

func (l *link) sent(now time.Duration, bytes int) {
	l.drain(now)
	l.backlog += float64(bytes)
	l.turnMeter(now)
	l.meter[l.meterAt%meterSlots] += float64(bytes)
}

func (l *link) turnMeter(now time.Duration) {
	slot := int64(now / meterSlot)
	if slot-l.meterAt >= meterSlots {
		l.meter, l.meterAt = [meterSlots]float64{}, slot
	}
	for l.meterAt < slot {
		l.meterAt++
		l.meter[l.meterAt%meterSlots] = 0
	}
}

// bytesPerSecond returns the bytes sent in the last second.
func (l *link) bytesPerSecond(now time.Duration) (sum float64) {
	l.turnMeter(now)
	for _, bytes := range l.meter {
		sum += bytes
	}
	return sum
}

// queueTime returns the time after which a packet sent now has passed the link.
func (l *link) queueTime(now time.Duration) time.Duration {
	l.drain(now)
	return time.Duration(l.backlog / l.rate * float64(time.Second))
}

// noteHandshake notes the time from a SYN that was sent to the packet that ends its
// handshake, and the time of the SYN in the queue by the model.
func (l *link) noteHandshake(now, took, queued time.Duration) {
	if now-l.shortestIntervalAt > baseInterval/2 {
		l.shortest, l.shortestIntervalAt = [2]time.Duration{0, l.shortest[0]}, now
	}
	if l.shortest[0] == 0 || took < l.shortest[0] {
		l.shortest[0] = took
	}
	l.handshakes++
	l.excess += took - l.shortestHandshake()
	l.predicted += queued
}

// shortestHandshake returns the time of the shortest handshake of the last interval, 0 if
// none is known.
func (l *link) shortestHandshake() time.Duration {
	if before := l.shortest[1]; before > 0 && (l.shortest[0] == 0 || before < l.shortest[0]) {
		return before
	}
	return l.shortest[0]
}

// lower corrects the rate downwards, to a least one.
func (l *link) lower(least float64) {
	l.rate = min(l.rate, max(l.rate/rateStep, l.hint/maxCorrection, least))
}

// noteData notes a packet with data.
func (l *link) noteData(repeated bool) {
	l.data++
	if repeated {
		l.repeated++
	}
}

// adapt corrects the rate if the handshakes and the packets sent again since the last
// correction contradict the model.
func (l *link) adapt(now time.Duration) {
	if now-l.adaptedAt < adaptInterval || l.handshakes < minHandshakes {
		return
	}
	n := time.Duration(l.handshakes)
	used := l.bytesPerSecond(now)
	busy := used > minUtilization*l.rate
	loses := l.data >= minData && float64(l.repeated) > maxRepeated*float64(l.data)
	excess, predicted := l.excess/n, l.predicted/n
	switch {
	case busy && loses:
		l.lower(minLossHeadroom * used)
	case busy && excess > 2*predicted+handshakeNoise:
		l.lower(minHeadroom * used)
	case !loses && predicted > 2*excess+handshakeNoise/4: // what was lost has not queued
		l.rate = min(l.rate*rateStep, l.hint*maxCorrection)
		l.backlog = min(l.backlog, excess.Seconds()*l.rate)
	case !loses && l.rate < l.hint:
		l.rate = min(l.rate*recovery, l.hint)
	}
	l.adaptedAt, l.handshakes, l.excess, l.predicted, l.data, l.repeated = now, 0, 0, 0, 0, 0
}
