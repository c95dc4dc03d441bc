package edge

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a proxy does with the connections through it.
type ProxyMode uint8

// Modes of a proxy.
const (
	Pass   ProxyMode = iota
	Late             // bytes are delayed
	Reset            // connections are reset, old and new
	Silent           // nothing passes either way, on old connections for good
	OneWay           // questions pass, answers do not
	numModes
)

var modeNames = [numModes]string{"pass", "late", "reset", "silent", "one-way"}

func (m ProxyMode) String() string { return modeNames[m] }

const proxyDelay = 150 * time.Millisecond // one way, of Late

// proxy forwards TCP connections from an instance to the store.
type proxy struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	mode  ProxyMode
	conns map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return // the city closes
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close()
	if p.now() == Reset {
		// No linger, so that closing resets the connection.
		_ = c.SetLinger(0)
		return
	}
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	p.keep(c, true)
	defer p.keep(c, false)
	go p.copy(t, c, Silent, Silent)
	p.copy(c, t, Silent, OneWay)
}

// copy passes bytes until either end closes. Once one of two modes was in
// force, the connection stays dead in this direction.
func (p *proxy) copy(to, from net.Conn, dead, alsoDead ProxyMode) {
	b := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(b)
		m := p.now()
		lost = lost || m == dead || m == alsoDead
		if m == Late {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !lost {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = c.CloseWrite() // the other end may have closed
			}
			return
		}
	}
}

func (p *proxy) keep(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) now() ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode. Reset also ends the open connections.
func (p *proxy) set(m ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}
