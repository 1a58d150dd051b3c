package config

import (
	"fmt"
	"strings"
)

// Error is one error in an operators' file.
type Error struct {
	// Line counts from 1; zero means the file as a whole.
	Line int
	// Key is the full path of the TOML key, such as routes[2].deadline.
	Key    string
	Reason string
}

// Error returns the line, the key and the reason as one line of text.
func (e Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// Errors holds all errors in an operators' file in line order.
type Errors []Error

// Error returns one line of text for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}
