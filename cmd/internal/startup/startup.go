// Package startup is what the daemons do before they serve: the command line,
// the check of their settings, and the log level.
package startup

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the daemons.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Parse reads the command line into options. When the process is to end, ok is
// false and code is its exit code.
func Parse(args []string, into any) (code int, ok bool) {
	if _, err := flags.ParseArgs(into, args); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return 0, false
		}
		return ExitUsage, false
	}
	return 0, true
}

// Load reads the settings file of a daemon. With check the process is to end
// after that: ok is false and code is its exit code, as when the file is wrong.
func Load[S any](name, path string, check bool, load func(string) (*S, error)) (s *S, code int, ok bool) {
	s, err := load(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return nil, ExitUsage, false
	}
	if check {
		fmt.Println(path, "is valid")
		return s, 0, false
	}
	return s, 0, true
}

// Level reads a log level that the settings' check has let pass.
func Level(name, text string) (*slog.LevelVar, error) {
	level := new(slog.LevelVar)
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return nil, fmt.Errorf("%s: log_level: %w", name, err)
	}
	return level, nil
}
