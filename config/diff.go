package config

import (
	"fmt"
	"sort"
	"strings"
)

// ChangeKind is the way in which an item differs between two configurations.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one item that differs between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Item is the kind of item: customer, key, route, retry or failure domain.
	Item string `json:"item"`
	Name string `json:"name,omitempty"`
	// Fields lists the changed fields of the item, such as "rate 10 -> 20".
	Fields []string `json:"fields,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	line := fmt.Sprintf("%-7s %s", c.Kind, c.Item)
	if c.Name != "" {
		line += " " + c.Name
	}
	if len(c.Fields) > 0 {
		line += ": " + strings.Join(c.Fields, ", ")
	}
	return line
}

// field is a property of an item, formatted for display.
type field struct{ name, value string }

// Diff lists the changes from old to next, grouped by kind of item and ordered
// by name. A nil configuration counts as empty.
func Diff(old, next *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	if next == nil {
		next = &Config{}
	}
	var changes []Change
	changes = append(changes, diffItems("failure domain", domainItems(old), domainItems(next))...)
	changes = append(changes, diffItems("retry", retryItems(old), retryItems(next))...)
	changes = append(changes, diffItems("customer", customerItems(old), customerItems(next))...)
	changes = append(changes, diffItems("key", keyItems(old), keyItems(next))...)
	changes = append(changes, diffItems("route", routeItems(old), routeItems(next))...)
	return changes
}

func diffItems(itemKind string, old, next map[string][]field) []Change {
	var changes []Change
	for name, fields := range next {
		oldFields, existed := old[name]
		if !existed {
			changes = append(changes, Change{Kind: Added, Item: itemKind, Name: name, Fields: formatFields(fields)})
		} else if changed := diffFields(oldFields, fields); len(changed) > 0 {
			changes = append(changes, Change{Kind: Changed, Item: itemKind, Name: name, Fields: changed})
		}
	}
	for name := range old {
		if _, kept := next[name]; !kept {
			changes = append(changes, Change{Kind: Removed, Item: itemKind, Name: name})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}

func formatFields(fields []field) []string {
	texts := make([]string, len(fields))
	for i, f := range fields {
		texts[i] = f.name + " " + f.value
	}
	return texts
}

// diffFields compares the fields of two items of the same kind; both lists name
// the same fields in the same order.
func diffFields(old, next []field) []string {
	var changed []string
	for i, f := range next {
		if f.value != old[i].value {
			changed = append(changed, fmt.Sprintf("%s %s -> %s", f.name, old[i].value, f.value))
		}
	}
	return changed
}

func domainItems(c *Config) map[string][]field {
	items := map[string][]field{}
	for _, d := range c.FailureDomains {
		items[d] = nil
	}
	return items
}

// retryItems returns a single item without a name, since there is one policy.
func retryItems(c *Config) map[string][]field {
	return map[string][]field{"": {{"allowance", fmt.Sprint(c.Retry.Allowance)}}}
}

func customerItems(c *Config) map[string][]field {
	items := map[string][]field{}
	for _, customer := range c.Customers {
		items[customer.Name] = []field{
			{"rate", fmt.Sprintf("%g/s", customer.Rate)},
			{"burst", fmt.Sprintf("%g", customer.Burst)},
		}
	}
	return items
}

// keyItems includes the first digits of hash and salt, which suffice to show that
// they changed.
func keyItems(c *Config) map[string][]field {
	items := map[string][]field{}
	for _, k := range c.Keys {
		items[k.ID] = []field{
			{"customer", k.Customer},
			{"hash", fmt.Sprintf("%.8s", k.Hash)},
			{"salt", fmt.Sprintf("%.8s", k.Salt)},
		}
	}
	return items
}

func routeItems(c *Config) map[string][]field {
	items := map[string][]field{}
	for _, r := range c.Routes {
		items[r.Name] = []field{
			{"service", r.Service},
			{"method", r.Method},
			{"path", r.Pattern},
			{"open", fmt.Sprint(r.Open)},
			{"idempotent", fmt.Sprint(r.Idempotent)},
			{"priority", r.Priority.String()},
			{"deadline", r.Deadline.String()},
			{"objective", fmt.Sprintf("%g", r.Objective)},
		}
	}
	return items
}
