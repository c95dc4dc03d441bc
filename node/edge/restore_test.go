package edge

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"egrettack.example/core/catalog"
)

// restore lets the store return from a copy with a lower revision and an older
// configuration.
func (s *fakeStore) restore(rev catalog.Revision, v catalog.Version) {
	s.change(func(c *catalog.Change) {
		c.Epoch++
		c.Revision = rev - 1
		s.setVersion(v)
	})
}

// setVersion replaces the configuration. The caller holds the lock.
func (s *fakeStore) setVersion(v catalog.Version) {
	s.state.Config = &catalog.Config{Version: v, Revision: s.state.Revision + 1, Routes: s.state.Config.Routes}
}

// Guards against a configuration that is not in force because its revision was given out before a restore.
func TestConfigurationAfterARestoreIsInForce(t *testing.T) {
	l := newHarness(t)
	l.store.state.Revision = 50
	instances := []*runningInstance{l.start(1, l.store), l.start(2, l.store), l.start(3, l.store)}
	version := func(i *runningInstance) func() catalog.Version {
		return func() catalog.Version { return i.status().Version }
	}
	for n := range instances {
		l.Eventually(func() int { return l.readyStatus(byte(n + 1)) }, "3s").Should(Equal(http.StatusOK))
	}
	l.store.change(func(*catalog.Change) { l.store.setVersion(6) })
	for _, i := range instances {
		l.Eventually(version(i), "3s").Should(Equal(catalog.Version(6)))
	}
	l.store.restore(40, 3)
	l.store.change(func(*catalog.Change) { l.store.setVersion(9) })
	for _, i := range instances {
		l.Eventually(version(i), "3s").Should(Equal(catalog.Version(9)))
		l.Expect(i.status().Epoch).To(Equal(catalog.Epoch(1)))
	}
}

// Guards against instances that start after a restore and serve the configuration that it brought back.
func TestConfigurationThatARestoreUndidStaysInForce(t *testing.T) {
	l := newHarness(t)
	instances := []*runningInstance{l.start(1, l.store), l.start(2, l.store), l.start(3, l.store)}
	for n := range instances {
		l.Eventually(func() int { return l.readyStatus(byte(n + 1)) }, "3s").Should(Equal(http.StatusOK))
	}
	l.store.change(func(*catalog.Change) { l.store.setVersion(6) })
	for _, i := range instances {
		l.Eventually(func() catalog.Version { return i.status().Version }, "3s").Should(Equal(catalog.Version(6)))
	}
	l.store.restore(4, 3)
	for n := byte(4); n <= 6; n++ {
		instances = append(instances, l.start(n, l.store))
	}
	for _, i := range instances {
		l.Eventually(func() catalog.Version { return i.status().Version }, "3s").Should(Equal(catalog.Version(6)))
	}
}
