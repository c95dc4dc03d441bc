//go:build race

package dataplane

// The race detector makes sync.Pool, which x/net uses, drop items at random.
func init() { raceDetector = true }
