// Package bench holds the harness of the benchmarks of many instances: real
// daemons on loopback around stand-ins that count calls and bytes, and several
// engines in one process in virtual time. The benchmarks themselves are in its
// test files and run with make bench.
package bench
