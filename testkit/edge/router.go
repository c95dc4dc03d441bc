package edge

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the routers, as the platform's pages give them.
const (
	readyEvery   = 500 * time.Millisecond
	readyTimeout = 400 * time.Millisecond
	readyMisses  = 2
)

// watchReady keeps the rotation until ctx is done.
func (c *City) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(readyEvery)
	defer t.Stop()
	for {
		for _, i := range c.Instances {
			go c.askReady(client, i)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *City) askReady(client *http.Client, i *Instance) {
	ok := false
	if resp, err := client.Get("http://" + i.health().String() + "/egrettack/ready"); err == nil {
		ok = resp.StatusCode == http.StatusOK
		resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		i.misses = 0
	} else {
		i.misses++
	}
	i.inRotation = i.misses < readyMisses && (i.inRotation || ok)
}

// route returns the instance that gets a flow's packets from callers of a
// domain, by the hash of the deployment.
func (c *City) route(domain string, k flowKey) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.rotation(domain)
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	if c.cfg.Hash == "mod" {
		return list[flowHash(k, 0)%uint64(len(list))].packets(), true
	}
	var best *Instance
	var highest uint64
	for _, i := range list {
		if h := flowHash(k, uint64(i.number)+1); best == nil || h > highest {
			best, highest = i, h
		}
	}
	return best.packets(), true
}

// rotation returns the instances of a domain that get packets: those in
// rotation, all of the domain if they are fewer than half, and those of other
// domains if there is none.
func (c *City) rotation(domain string) []*Instance {
	var own, in, others []*Instance
	for _, i := range c.Instances {
		switch {
		case i.Domain == domain:
			own = append(own, i)
			if i.inRotation {
				in = append(in, i)
			}
		case i.inRotation:
			others = append(others, i)
		}
	}
	switch {
	case len(in) > 0 && 2*len(in) < len(own):
		return own
	case len(in) > 0:
		return in
	case len(others) > 0:
		return others
	}
	return own
}

func flowHash(k flowKey, seed uint64) uint64 {
	d := xxhash.NewWithSeed(seed)
	for _, a := range []netip.AddrPort{k.caller, k.dest} {
		b := a.Addr().As4()
		// Writing to a hash does not fail.
		_, _ = d.Write(b[:])
		_, _ = d.Write([]byte{byte(a.Port() >> 8), byte(a.Port())})
	}
	return d.Sum64()
}
