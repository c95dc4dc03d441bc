// Command standin plays a case of the review: the platform's store, routers, hosts and
// requesters around processes of the system, all on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(*play) error{
	"delayed-syn":      delayedSYN,
	"planned-restarts": plannedRestarts,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(f func(*play) error, program, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are in", dir)
	}
	p := &play{system: &system{dir: dir, program: program, hash: "steady", record: rec}, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.stop()
	if err := f(p); err != nil {
		rec.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return rec.verdict()
}
