// Package testkit is documented in docs/design.md, section 4.
package testkit
