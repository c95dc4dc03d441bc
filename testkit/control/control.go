// Package control holds the JSON over HTTP that the stand-ins use for their
// test interfaces.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxBody is the largest accepted request, in bytes. It lets a test publish
// several values of the platform's limit of 1 MB at once.
const maxBody = 16 << 20

var client = &http.Client{Timeout: 90 * time.Second}

// Get reads the JSON answer of target into v.
func Get(ctx context.Context, target string, v any) error {
	return do(ctx, http.MethodGet, target, nil, v)
}

// Put sends v as JSON to target.
func Put(ctx context.Context, target string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err, "encode request to %s", target)
	}
	return do(ctx, http.MethodPut, target, b, nil)
}

func do(ctx context.Context, method, target string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err, "%s %s", method, target)
	}
	resp, err := client.Do(req)
	if err != nil {
		return trace.Wrap(err, "%s %s", method, target)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.Wrap(err, "read answer of %s", target)
	}
	if resp.StatusCode/100 != 2 {
		return trace.Errorf("%s %s: %s: %s", method, target, resp.Status, strings.TrimSpace(string(b)))
	}
	if v == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(b, v), "decode answer of %s", target)
}

// Answer writes v as JSON.
func Answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Accept returns a handler that decodes the request into a T and calls f.
func Accept[T any](f func(r *http.Request, v T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		d.DisallowUnknownFields()
		if err := d.Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := f(r, v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// Report returns a handler that answers with the result of f.
func Report(f func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { Answer(w, f()) }
}

// Serve runs an HTTP server on addr until ctx is over.
func Serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "listen on %s", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "serve on %s", addr)
	}
	return nil
}

// Address returns the host and port of a test interface's URL.
func Address(rawURL string) (string, error) {
	u, err := url.Parse(rawURL)
	if err != nil || u.Host == "" {
		return "", trace.BadParameter("%q is not a URL with an address", rawURL)
	}
	return u.Host, nil
}
