// Package settings is documented in docs/design.md, section 4.
package settings
