package rpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"egrettack.example/settings/daemon"
)

// A connection starts with three fixed-size messages:
//
//	server: magic, server nonce
//	client: key number, client nonce, HMAC of both nonces
//	server: HMAC of both nonces
//
// Both sides then derive the keys of the two directions, and every frame
// carries a code over its position and body.
const (
	magic       = "egrettack-rpc/1\n"
	nonceLen    = 32
	macLen      = sha256.Size
	helloLen    = len(magic) + nonceLen
	proofLen    = 1 + nonceLen + macLen
	frameMACLen = 16 // bytes of each frame's code, as in heartbeats

	// handshakeTime bounds how long a peer that has not proved a key can
	// hold a connection.
	handshakeTime = 3 * time.Second
)

// ErrKey is the cause of errors of calls whose key the peer does not share.
var ErrKey = errors.New("wrong key")

// session holds the keys of the two directions of one connection.
type session struct{ toServer, toClient []byte }

func mac(secret []byte, label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(label))
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

func newSession(secret, serverNonce, clientNonce []byte) session {
	return session{
		toServer: mac(secret, "egrettack rpc frames to server", serverNonce, clientNonce),
		toClient: mac(secret, "egrettack rpc frames to client", serverNonce, clientNonce),
	}
}

// acceptHandshake authenticates a client.
func acceptHandshake(conn net.Conn, keys []daemon.Key) (session, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTime)); err != nil {
		return session{}, err
	}
	hello := append([]byte(magic), newNonce()...)
	nonce := hello[len(magic):]
	if _, err := conn.Write(hello); err != nil {
		return session{}, fmt.Errorf("sending the nonce: %w", err)
	}
	proof := make([]byte, proofLen)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return session{}, fmt.Errorf("reading the proof: %w", err)
	}
	theirs, code := proof[1:1+nonceLen], proof[1+nonceLen:]
	secret, err := findKey(keys, proof[0])
	if err != nil {
		return session{}, err
	}
	if subtle.ConstantTimeCompare(code, mac(secret, "egrettack rpc client", nonce, theirs)) != 1 {
		return session{}, fmt.Errorf("wrong proof for key %d", proof[0])
	}
	if _, err := conn.Write(mac(secret, "egrettack rpc server", nonce, theirs)); err != nil {
		return session{}, fmt.Errorf("sending the proof: %w", err)
	}
	return newSession(secret, nonce, theirs), conn.SetDeadline(time.Time{})
}

// openHandshake authenticates to a server, and the server to this client.
func openHandshake(conn net.Conn, key daemon.Key) (session, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTime)); err != nil {
		return session{}, err
	}
	hello := make([]byte, helloLen)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return session{}, fmt.Errorf("reading the nonce: %w", err)
	}
	if string(hello[:len(magic)]) != magic {
		return session{}, fmt.Errorf("the peer does not speak egrettack rpc")
	}
	nonce, ours, secret := hello[len(magic):], newNonce(), key.Secret[:]
	proof := append([]byte{key.ID}, ours...)
	proof = append(proof, mac(secret, "egrettack rpc client", nonce, ours)...)
	if _, err := conn.Write(proof); err != nil {
		return session{}, fmt.Errorf("sending the proof: %w", err)
	}
	code := make([]byte, macLen)
	if _, err := io.ReadFull(conn, code); err != nil {
		if errors.Is(err, io.EOF) {
			return session{}, fmt.Errorf("%w: the peer did not accept key %d", ErrKey, key.ID)
		}
		return session{}, fmt.Errorf("reading the proof: %w", err)
	}
	if subtle.ConstantTimeCompare(code, mac(secret, "egrettack rpc server", nonce, ours)) != 1 {
		return session{}, fmt.Errorf("%w: the peer does not have key %d", ErrKey, key.ID)
	}
	return newSession(secret, nonce, ours), conn.SetDeadline(time.Time{})
}

func findKey(keys []daemon.Key, id uint8) ([]byte, error) {
	for i := range keys {
		if keys[i].ID == id {
			return keys[i].Secret[:], nil
		}
	}
	return nil, fmt.Errorf("unknown key %d", id)
}

func newNonce() []byte {
	b := make([]byte, nonceLen)
	rand.Read(b) // never fails
	return b
}
