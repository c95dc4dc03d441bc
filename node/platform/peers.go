package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"egrettack.example/settings/published"
)

const (
	// peersAtOnce is the number of peers asked in one go. One that is in
	// force suffices, and a few of a list that lags may be gone.
	peersAtOnce = 4
	peerTime    = 2 * time.Second
	// retryPeers is the longest wait of a call while nothing is in force, so
	// that peers are asked again soon.
	retryPeers = 5 * time.Second
)

// askPeers asks some listed instances for the values that they have in force,
// when this one has none. Without it an instance that starts while the platform
// is down or a faulty publication stands could not serve until that is over.
func (c *Client) askPeers(ctx context.Context) {
	if c.cfg.Fetch == nil || c.Snapshot() != nil {
		return
	}
	c.mu.Lock()
	addrs := published.RPCAddresses(c.seen, c.cfg.Domain)
	c.mu.Unlock()
	addrs = append(addrs, c.cfg.Peers...)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(peersAtOnce, len(addrs))] {
		call, cancel := context.WithTimeout(ctx, peerTime)
		v, err := c.cfg.Fetch(call, addr, 0)
		cancel()
		if err == nil {
			err = c.Merge(v)
		}
		if c.Snapshot() != nil {
			return
		}
		c.cfg.Log.Warn("peer gave no values", "peer", addr, "err", err)
	}
}
