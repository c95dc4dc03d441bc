package link

import (
	"errors"
	"io"
	"net"
	"time"

	"egrettack.example/testkit/world"
)

// dialWait bounds the connection to the target of a link.
const dialWait = 5 * time.Second

// datagrams forwards one way; the peers send their answers over the link of
// the other direction.
func (d *direction) datagrams(c *net.UDPConn, l world.Link) {
	b := make([]byte, 1<<16)
	for {
		n, _, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		delay, pass := d.next()
		if !pass {
			d.stats.dropped.Add(1)
			continue
		}
		d.stats.datagrams.Add(1)
		d.stats.bytes.Add(uint64(n))
		if delay == 0 {
			_, _ = c.WriteToUDPAddrPort(b[:n], l.Target)
			continue
		}
		late := append([]byte(nil), b[:n]...)
		time.AfterFunc(delay, func() { _, _ = c.WriteToUDPAddrPort(late, l.Target) })
	}
}

func (d *direction) connections(l *net.TCPListener, spec world.Link) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.connection(c, spec)
	}
}

// connection forwards one connection. A cut stalls it, as a real one does,
// until the cut heals or an end gives up.
func (d *direction) connection(c net.Conn, l world.Link) {
	defer c.Close()
	if !d.waitHealed() {
		return
	}
	t, err := net.DialTimeout("tcp4", l.Target.String(), dialWait)
	if err != nil {
		return
	}
	defer t.Close()
	done := make(chan struct{}, 2)
	go func() { d.copy(t, c); done <- struct{}{} }()
	go func() { d.copy(c, t); done <- struct{}{} }()
	<-done
	<-done
}

// stallStep is how often a stalled connection looks whether the cut is healed.
const stallStep = 50 * time.Millisecond

// maxStall is above the time-outs of all clients; it ends forgotten stalls.
const maxStall = 2 * time.Minute

func (d *direction) waitHealed() bool {
	for start := time.Now(); time.Since(start) < maxStall; time.Sleep(stallStep) {
		if d.open() {
			return true
		}
	}
	return false
}

func (d *direction) open() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.state.Cut
}

// copy forwards bytes one way and passes on the end of the source.
func (d *direction) copy(dst, src net.Conn) {
	b := make([]byte, 1<<15)
	for {
		n, err := src.Read(b)
		if n > 0 {
			delay, _ := d.next()
			time.Sleep(delay)
			if !d.waitHealed() {
				return
			}
			if _, err := dst.Write(b[:n]); err != nil {
				return
			}
			d.stats.bytes.Add(uint64(n))
		}
		if err != nil {
			endWriting(dst, err)
			return
		}
	}
}

func endWriting(c net.Conn, err error) {
	t, ok := c.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = t.CloseWrite()
		return
	}
	c.Close()
}
