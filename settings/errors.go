package settings

import (
	"errors"
	"flag"
	"fmt"
)

// ExitUsage is the exit code for invalid flags or settings.
const ExitUsage = 2

// Error is an error in a settings file.
type Error struct {
	File string
	// Line counts from 1; zero means the file as a whole.
	Line   int
	Key    string
	Reason string
}

// Error returns the file, the line, the key and the reason as one line of text.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", location, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", location, e.Key, e.Reason)
}

// UsageError is an error in the command line or the environment.
type UsageError struct{ Err error }

// Error returns the text of the cause.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error of Parse: zero for flag.ErrHelp and
// nil, else ExitUsage.
func ExitCode(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	return ExitUsage
}
