package rpc

import (
	"net"
	"testing"

	"egrettack.example/settings/daemon"
)

// MaxConnections is for tests.
const MaxConnections = maxConnections

// DialRaw returns an authenticated connection for frames made by a test.
func DialRaw(t *testing.T, addr string, key daemon.Key) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	Open(t, conn, key)
	return conn
}

// Open authenticates to the server at the other end of conn.
func Open(t *testing.T, conn net.Conn, key daemon.Key) {
	t.Helper()
	if _, err := openHandshake(conn, key); err != nil {
		t.Fatal(err)
	}
}
