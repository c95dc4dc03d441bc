// Package settings checks that docs/settings.md describes every field of the
// tree, the lists and the daemon's settings. The readers are in its sub-packages.
package settings
