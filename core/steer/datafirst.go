package steer

const (
	// usualShare is the share of the flows that begin with data from which on it is usual.
	usualShare = 0.2
	// shareFlows is the number of flows over which the share is averaged. With fewer an
	// instance takes the share from a peer.
	shareFlows = 16
)

// dataFirst is the share of the flows whose callers end the handshake with data.
type dataFirst struct {
	share float64
	flows int  // that this instance has seen begin, at most shareFlows
	told  bool // by a peer
}

func (d *dataFirst) isUsual() bool { return d.share >= usualShare }

// note updates the share with the first packet that is seen of a flow after its SYN, whether
// or not it is delivered: an instance whose peers do not answer drops it, and has to learn the
// share all the same.
func (d *dataFirst) note(f *flowEntry, p *Packet) {
	if f.established || f.firstNoted || p.RST {
		return
	}
	f.firstNoted = true
	x := 0.0
	if p.Len > 0 {
		x = 1
	}
	d.share += (x - d.share) / shareFlows
	d.flows = min(d.flows+1, shareFlows)
}

// DataFirst returns the share of the flows whose callers end the handshake with data. It
// reports false if this instance has seen too few flows to tell, and was not told.
func (e *Engine) DataFirst() (share float64, known bool) {
	return e.dataFirst.share, e.dataFirst.told || e.dataFirst.flows == shareFlows
}

// LearnDataFirst takes the share of the flows that begin with data from a peer, unless this
// instance has seen enough flows itself. It reports whether the share was taken.
func (e *Engine) LearnDataFirst(share float64) bool {
	if _, known := e.DataFirst(); known || share < 0 || share > 1 {
		return false
	}
	e.dataFirst.share, e.dataFirst.told = share, true
	return true
}
