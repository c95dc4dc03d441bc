// Package testkit runs the scenarios: scripts that start real instances between
// stand-ins for the platform, the fabric, the hosts, the callers and the links,
// and bring about the failures that the design is meant for.
package testkit
