package fleet

// DomainSizes returns the number of known members of each failure domain, including the
// instance itself.
func (f *Fleet) DomainSizes() map[string]int {
	sizes := map[string]int{f.self.Domain: f.DomainSize()}
	for _, m := range f.ranked {
		if m.Domain != f.self.Domain {
			sizes[m.Domain]++
		}
	}
	return sizes
}
