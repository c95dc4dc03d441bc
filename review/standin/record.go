package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with all that was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	breaks []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// broken notes that a rule was broken.
func (r *record) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, text)
}

// verdict prints the result and returns the exit code.
func (r *record) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, b := range r.breaks {
		if n == 5 {
			fmt.Printf("... and %d more\n", len(r.breaks)-n)
			break
		}
		fmt.Println(b)
	}
	fmt.Printf("%d breaks\n", len(r.breaks))
	if len(r.breaks) > 0 {
		return 1
	}
	return 0
}
