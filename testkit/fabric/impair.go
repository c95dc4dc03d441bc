package fabric

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Impairment is what happens to packets in one direction.
type Impairment struct {
	Loss      float64 `json:"loss"`      // probabilities, 0 to 1
	Duplicate float64 `json:"duplicate"` //
	Reorder   float64 `json:"reorder"`   // of a packet being held back by HoldMS
	HoldMS    int     `json:"hold_ms"`
	DelayMS   int     `json:"delay_ms"`
	JitterMS  int     `json:"jitter_ms"`
}

type impairer struct {
	mu  sync.Mutex
	cfg Impairment
	rnd *rand.Rand
}

func newImpairer(seed, stream uint64) *impairer {
	return &impairer{rnd: rand.New(rand.NewPCG(seed, stream))}
}

func (i *impairer) set(c Impairment) {
	i.mu.Lock()
	i.cfg = c
	i.mu.Unlock()
}

// plan returns the delays of all copies of one packet that are to be sent.
func (i *impairer) plan() []time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cfg == (Impairment{}) {
		return noDelay
	}
	if i.rnd.Float64() < i.cfg.Loss {
		return nil
	}
	out := []time.Duration{i.delay()}
	if i.rnd.Float64() < i.cfg.Duplicate {
		out = append(out, i.delay())
	}
	return out
}

var noDelay = []time.Duration{0}

func (i *impairer) delay() time.Duration {
	d := time.Duration(i.cfg.DelayMS) * time.Millisecond
	if i.cfg.JitterMS > 0 {
		d += time.Duration(i.rnd.Int64N(int64(i.cfg.JitterMS) * int64(time.Millisecond)))
	}
	if i.rnd.Float64() < i.cfg.Reorder {
		d += time.Duration(i.cfg.HoldMS) * time.Millisecond
	}
	return d
}

// each calls send for every copy of the packet, at once or later. send gets a
// private copy of d when it is called later.
func (i *impairer) each(d []byte, send func([]byte)) {
	for _, wait := range i.plan() {
		if wait == 0 {
			send(d)
			continue
		}
		late := append([]byte(nil), d...)
		time.AfterFunc(wait, func() { send(late) })
	}
}
