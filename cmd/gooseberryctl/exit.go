package main

import (
	"errors"
	"fmt"
)

// Exit codes, as documented in the help and in docs/OPERATIONS.md.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitRejected    = 3
	exitUnknown     = 4
	exitUnreachable = 5
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &e):
		return e.code
	}
	return exitFailure
}
