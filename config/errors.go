package config

import (
	"fmt"
	"strings"
)

// Error is one fault of an operators' file.
type Error struct {
	// Line is counted from 1; zero means the file as a whole.
	Line int
	// Key is the full path of the key, such as routes[2].deadline.
	Key    string
	Reason string
}

// Error returns the fault as one line of text.
func (e Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// Errors is every fault of an operators' file in line order.
type Errors []Error

// Error returns one line of text for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
