package config

import (
	"fmt"
	"sort"
	"strings"
)

// ChangeKind tells how an item differs between two configurations.
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
	// Item is what kind of item it is: customer, key, route, retry or
	// failure domain.
	Item string `json:"item"`
	Name string `json:"name,omitempty"`
	// Fields lists what changed within the item, as "rate 10 -> 20".
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

// field is one printed property of an item.
type field struct{ name, value string }

// Diff lists what applying next over old would change, grouped by the kind of
// item and ordered by name. A nil configuration counts as an empty one.
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

func diffItems(item string, old, next map[string][]field) []Change {
	var changes []Change
	for name, fields := range next {
		before, existed := old[name]
		if !existed {
			changes = append(changes, Change{Kind: Added, Item: item, Name: name, Fields: describe(fields)})
		} else if changed := diffFields(before, fields); len(changed) > 0 {
			changes = append(changes, Change{Kind: Changed, Item: item, Name: name, Fields: changed})
		}
	}
	for name := range old {
		if _, kept := next[name]; !kept {
			changes = append(changes, Change{Kind: Removed, Item: item, Name: name})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}

func describe(fields []field) []string {
	texts := make([]string, len(fields))
	for i, f := range fields {
		texts[i] = f.name + " " + f.value
	}
	return texts
}

// diffFields compares two field lists of the same kind of item.
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

// retryItems has one item without a name, as there is one policy.
func retryItems(c *Config) map[string][]field {
	return map[string][]field{"": {{"allowance", fmt.Sprint(c.Retry.Allowance)}}}
}

func customerItems(c *Config) map[string][]field {
	items := map[string][]field{}
	for _, one := range c.Customers {
		items[one.Name] = []field{
			{"rate", fmt.Sprintf("%g/s", one.Rate)},
			{"burst", fmt.Sprintf("%g", one.Burst)},
		}
	}
	return items
}

// keyItems shows that a hash changed by its first digits.
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
