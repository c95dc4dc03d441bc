package layout

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// blockSize is the number of ports of one installation. Six instances and
	// twenty hosts in three domains take about 180 with all links.
	blockSize = 400
	// The blocks lie below the range that systems use for outgoing connections.
	firstBlock = 10000
	lastBlock  = 31000
	tries      = 50
)

// taken holds the blocks that this process has given out, since their ports
// are bound only later.
var taken = struct {
	sync.Mutex
	blocks map[int]bool
}{blocks: make(map[int]bool)}

// findPorts returns the first port of a block in which all are free.
func findPorts(base int) (uint16, error) {
	if base != 0 {
		if !free(base) {
			return 0, trace.LimitExceeded("ports %d to %d are not all free", base, base+blockSize-1)
		}
		return uint16(base), nil
	}
	taken.Lock()
	defer taken.Unlock()
	for range tries {
		p := firstBlock + rand.IntN((lastBlock-firstBlock)/blockSize)*blockSize
		if !taken.blocks[p] && free(p) {
			taken.blocks[p] = true
			return uint16(p), nil
		}
	}
	return 0, trace.LimitExceeded("no block of %d free ports was found", blockSize)
}

func free(base int) bool {
	for p := base; p < base+blockSize; p++ {
		a := fmt.Sprintf("127.0.0.1:%d", p)
		t, err := net.Listen("tcp4", a)
		if err != nil {
			return false
		}
		t.Close()
		u, err := net.ListenPacket("udp4", a)
		if err != nil {
			return false
		}
		u.Close()
	}
	return true
}
