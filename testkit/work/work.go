// Package work is the protocol between the callers and the backend servers of
// the stand-ins: one request on a connection, then one answer or, on a feed,
// events until the caller closes. A frame is a big-endian length, a JSON
// header, and a body whose size and checksum the header holds.
package work

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc64"
	"io"

	"github.com/gravitational/trace"
)

// maxHeader is the largest accepted JSON header, in bytes.
const maxHeader = 4096

// MaxBody is the largest accepted body, in bytes.
const MaxBody = 16 << 20

var table = crc64.MakeTable(crc64.ECMA)

// Request is the header of a caller's request.
type Request struct {
	ID      string `json:"id"`
	Service uint32 `json:"service"` // number of the service the caller means
	Kind    string `json:"kind"`
	Work    int64  `json:"work"`   // time in a slot, microseconds; 0 leaves it to the host
	Answer  int    `json:"answer"` // size of the answer, bytes
	Every   int64  `json:"every"`  // time between events of a feed, microseconds; 0 for no feed
	Body    `json:"body"`
}

// Answer is the header of an answer or of one event of a feed.
type Answer struct {
	ID     string `json:"id"`
	Host   uint32 `json:"host"`
	Status Status `json:"status"`
	Event  uint64 `json:"event"` // from 1 on a feed
	Body   `json:"body"`
}

// Body tells the size and the checksum of the bytes behind a header.
type Body struct {
	Size int    `json:"size"`
	Sum  uint64 `json:"sum"`
}

// Status of an answer.
type Status string

const (
	// OK means that the request was run.
	OK Status = "ok"
	// Busy means that the host shed the request without running it.
	Busy Status = "busy"
	// Wrong means that the request belongs to another service.
	Wrong Status = "wrong"
)

// Write sends one frame.
func Write(w io.Writer, h any, body []byte) error {
	b, err := json.Marshal(h)
	if err != nil {
		return trace.Wrap(err, "encode frame")
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)+len(body)), uint32(len(b)))
	out = append(append(out, b...), body...)
	_, err = w.Write(out)
	return err
}

// Describe returns the Body of b.
func Describe(b []byte) Body { return Body{Size: len(b), Sum: crc64.Checksum(b, table)} }

// ReadHeader reads the header of one frame.
func ReadHeader(r io.Reader, h any) error {
	var n [4]byte
	if _, err := io.ReadFull(r, n[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(n[:])
	if size > maxHeader {
		return trace.BadParameter("frame header of %d bytes", size)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(b, h), "decode frame")
}

// ReadBody reads the body behind a header and checks it.
func ReadBody(r io.Reader, d Body) error {
	if d.Size < 0 || d.Size > MaxBody {
		return trace.BadParameter("body of %d bytes", d.Size)
	}
	b := make([]byte, d.Size)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	if got := crc64.Checksum(b, table); got != d.Sum {
		return trace.CompareFailed("checksum of %d bytes is %x, want %x", d.Size, got, d.Sum)
	}
	return nil
}
