// Command egrettackctl checks trees of settings and asks instances.
//
// Exit codes: 0 fine, 1 the check or request failed, 2 wrong usage, 3 an
// instance was not reachable.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
