package settings

import (
	"errors"
	"flag"
	"fmt"
)

// ExitUsage is the exit code for wrong flags and wrong settings.
const ExitUsage = 2

// Error is a fault of a settings file.
type Error struct {
	File string
	// Line is counted from 1; zero means the file as a whole.
	Line   int
	Key    string
	Reason string
}

// Error names the file, the line, the key and the reason.
func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", where, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", where, e.Key, e.Reason)
}

// UsageError is a fault of the command line or the environment.
type UsageError struct{ Err error }

// Error returns the text of the cause.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error of Parse: zero when help was
// asked for, else ExitUsage.
func ExitCode(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	return ExitUsage
}
