//go:build race

package dataplane

// With the race detector, sync.Pool drops items at random. x/net uses sync.Pool
// to send batches, which therefore allocates.
func init() { raceDetector = true }
