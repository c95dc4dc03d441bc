package rpc

import (
	"bufio"
	"crypto/subtle"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxRequest limits what a client may send: all requests are small.
	maxRequest = 64 << 10
	// maxReply holds a full set of values at the largest size designed for,
	// about 1 MB, with room for growth.
	maxReply = 8 << 20
	// frameTime bounds the sending or receiving of one frame's body.
	frameTime = 30 * time.Second
	frameHead = 4 + frameMACLen // bytes: length of the body, code
)

// codec frames JSON-RPC objects with a length limit and a code over the
// frame's position and body. jsonrpc2 calls it for one object at a time in
// each direction.
type codec struct {
	conn             net.Conn
	sendKey, recvKey []byte
	sent, received   uint64
	maxSend, maxRecv int
	idle             time.Duration // longest wait for the next frame, 0 for no limit
}

var _ jsonrpc2.ObjectCodec = (*codec)(nil)

func frameMAC(key []byte, position uint64, body []byte) []byte {
	var p [8]byte
	binary.BigEndian.PutUint64(p[:], position)
	return mac(key, "frame", p[:], body)[:frameMACLen]
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(w io.Writer, obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > c.maxSend {
		// The peer waits for this message and would run into its time limit.
		c.conn.Close()
		return fmt.Errorf("message of %d bytes is over the limit of %d", len(body), c.maxSend)
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(frameTime)); err != nil {
		return err
	}
	head := binary.BigEndian.AppendUint32(make([]byte, 0, frameHead), uint32(len(body)))
	head = append(head, frameMAC(c.sendKey, c.sent, body)...)
	c.sent++
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err = w.Write(body)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	var deadline time.Time
	if c.idle > 0 {
		deadline = time.Now().Add(c.idle)
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	head := make([]byte, frameHead)
	if _, err := io.ReadFull(r, head); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(head)
	if length > uint32(c.maxRecv) {
		return fmt.Errorf("message of %d bytes is over the limit of %d", length, c.maxRecv)
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(frameTime)); err != nil {
		return err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	if subtle.ConstantTimeCompare(head[4:], frameMAC(c.recvKey, c.received, body)) != 1 {
		return fmt.Errorf("wrong code on message %d", c.received)
	}
	c.received++
	return json.Unmarshal(body, v)
}
