// Package median follows the median of a stream of values without keeping them.
package median

// Median follows the median of positive values. The zero value has seen none.
type Median struct{ Value float64 }

// Add moves the median by a part, step, towards a value.
func (m *Median) Add(x, step float64) {
	switch {
	case m.Value == 0:
		m.Value = x
	case x > m.Value:
		m.Value *= 1 + step
	case x < m.Value:
		m.Value /= 1 + step
	}
}
