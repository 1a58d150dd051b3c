package config

import (
	"fmt"

	"github.com/gooseberryflow/gooseberryflow/internal/tomlfile"
)

// Parse parses and validates an operators' file. It returns either a valid
// configuration or an error of type Errors that lists every error found. Unknown
// TOML keys are errors.
func Parse(file []byte) (*Config, error) {
	if len(file) > MaxFileBytes {
		reason := fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(file), MaxFileBytes)
		return nil, Errors{{Reason: reason}}
	}
	doc := tomlfile.Parse(file)
	c := &Config{}
	if !doc.Failed() {
		c = readConfig(doc.Root())
	}
	if errs := collectErrors(doc); len(errs) > 0 {
		return nil, errs
	}
	return c, nil
}

func collectErrors(doc *tomlfile.Document) Errors {
	var errs Errors
	for _, p := range doc.Problems() {
		errs = append(errs, Error(p))
	}
	return errs
}

func readConfig(root *tomlfile.Table) *Config {
	c := &Config{}
	c.FailureDomains = readDomains(root)
	c.Retry = readRetry(root.Table("retry"))
	c.Customers = readCustomers(root.Tables("customers"))
	c.Keys = readKeys(root.Tables("keys"), customerNames(c.Customers))
	c.Routes = readRoutes(root.Tables("routes"))
	return c
}

// readDomains returns the failure domains, of which there must be at least one.
func readDomains(root *tomlfile.Table) []string {
	domains := root.Strings("failure_domains")
	if len(domains) == 0 && (root.Valid("failure_domains") || !root.Has("failure_domains")) {
		root.Reportf("failure_domains", "must name at least one failure domain")
	}
	seen := map[string]bool{}
	for i, d := range domains {
		key := fmt.Sprintf("failure_domains[%d]", i)
		if !ValidName(d) {
			root.Reportf(key, invalidNameFormat, d)
		}
		checkUnique(root, key, d, seen)
	}
	return domains
}

func readRetry(t *tomlfile.Table) RetryPolicy {
	allowance := t.Int("allowance")
	if allowance < 0 || allowance > MaxAllowance {
		t.Reportf("allowance", "must be from 0 to %d", MaxAllowance)
	}
	return RetryPolicy{Allowance: int(allowance)}
}

func readCustomers(tables []*tomlfile.Table) []Customer {
	customers := make([]Customer, 0, len(tables))
	seen := map[string]bool{}
	for _, t := range tables {
		t.Require("name", "rate", "burst")
		c := Customer{Name: t.String("name"), Rate: t.Float("rate"), Burst: t.Float("burst")}
		checkName(t, "name", c.Name)
		checkUnique(t, "name", c.Name, seen)
		checkRateOrBurst(t, "rate", c.Rate, MinRate)
		checkRateOrBurst(t, "burst", c.Burst, MinBurst)
		customers = append(customers, c)
	}
	return customers
}

func customerNames(customers []Customer) map[string]bool {
	names := make(map[string]bool, len(customers))
	for _, c := range customers {
		names[c.Name] = true
	}
	return names
}

func readKeys(tables []*tomlfile.Table, customers map[string]bool) []Key {
	keys := make([]Key, 0, len(tables))
	seen := map[string]bool{}
	for _, t := range tables {
		t.Require("id", "customer", "salt", "hash")
		k := Key{ID: t.String("id"), Customer: t.String("customer"), Salt: t.String("salt"), Hash: t.String("hash")}
		checkKeyID(t, k.ID)
		checkUnique(t, "id", k.ID, seen)
		checkHex(t, "salt", k.Salt, saltBytes)
		checkHex(t, "hash", k.Hash, hashBytes)
		if t.Valid("customer") && !customers[k.Customer] {
			t.Reportf("customer", "no customer is named %q", k.Customer)
		}
		keys = append(keys, k)
	}
	return keys
}

func readRoutes(tables []*tomlfile.Table) []Route {
	routes := make([]Route, 0, len(tables))
	seen := map[string]bool{}
	for _, t := range tables {
		r := readRoute(t)
		checkUnique(t, "name", r.Name, seen)
		checkAmbiguous(t, r, routes)
		routes = append(routes, r)
	}
	return routes
}

func readRoute(t *tomlfile.Table) Route {
	t.Require("name", "service", "method", "path", "deadline")
	r := Route{
		Name:       t.String("name"),
		Service:    t.String("service"),
		Method:     t.String("method"),
		Pattern:    t.String("path"),
		Open:       t.Bool("open"),
		Idempotent: t.Bool("idempotent"),
		Priority:   readPriority(t),
		Deadline:   t.Duration("deadline"),
		Objective:  t.Float("objective"),
	}
	checkName(t, "name", r.Name)
	checkName(t, "service", r.Service)
	checkMethod(t, r.Method)
	checkPattern(t, r.Pattern)
	checkDeadline(t, r.Deadline)
	checkObjective(t, r.Objective)
	return r
}

// readPriority returns the priority of a route, which defaults to normal.
func readPriority(t *tomlfile.Table) Priority {
	name := t.String("priority")
	if !t.Valid("priority") {
		return PriorityNormal
	}
	p, ok := ParsePriority(name)
	if !ok {
		t.Reportf("priority", "must be critical, high, normal or low")
	}
	return p
}
