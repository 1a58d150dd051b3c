package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 goa's designs are written in its language
)

// maxFileLength bounds the text of an operators' file; config.Parse has the
// exact bound.
const maxFileLength = 512 << 10

func changeID() { Pattern(`^[A-Za-z0-9-]{8,64}$`) }
func keyID()    { Pattern(`^[a-z0-9]{8,40}$`) }
func memberID() { Pattern(`^[A-Za-z0-9-]{1,64}$`) }

// Credential is the part of every payload that holds the operator's token.
var Credential = Type("Credential", func() {
	Token("token", String, "The operator's bearer token")
})

// ConfigFile is the configuration in force.
var ConfigFile = Type("ConfigFile", func() {
	Attribute("file", String, "Text of the operators' file; empty before the first")
	Attribute("version", UInt64, "Number of the configuration; 0 before the first")
	Attribute("change_id", String, "ID of the change that put it in force")
	Required("file", "version", "change_id")
})

// ApplyPayload is a change of the configuration.
var ApplyPayload = Type("ApplyPayload", func() {
	Extend(Credential)
	Attribute("file", String, "Text of the operators' file", func() { MaxLength(maxFileLength) })
	Attribute("base_version", UInt64, "Version that the file was made from")
	Attribute("change_id", String, "ID of the change, chosen by the client; a UUID", changeID)
	Attribute("dry_run", Boolean, "Only validate and compare", func() { Default(false) })
	Required("file", "base_version", "change_id")
})

// ChangeResult is the outcome of a change.
var ChangeResult = Type("ChangeResult", func() {
	Attribute("status", String, "Outcome of the change; valid is that of a dry run", func() {
		Enum("accepted", "rejected", "unknown", "valid")
	})
	Attribute("version", UInt64, "Version in force after an accepted change, else the current one")
	Attribute("change_id", String, "ID of the change")
	Attribute("reason", String, "Why the change was rejected or is unknown")
	Attribute("faults", ArrayOf(FileFault), "Every fault of the file")
	Attribute("changes", ArrayOf(ConfigChange), "What the file changes, for a dry run")
	Required("status", "version", "change_id")
})

// FileFault is one fault of an operators' file.
var FileFault = Type("FileFault", func() {
	Attribute("line", Int, "Line, counted from 1; 0 for the whole file")
	Attribute("key", String, "Full path of the key")
	Attribute("reason", String, "What is wrong")
	Required("line", "key", "reason")
})

// ConfigChange is one difference between two files.
var ConfigChange = Type("ConfigChange", func() {
	Attribute("kind", String, "What happens to the item", func() { Enum("added", "removed", "changed") })
	Attribute("item", String, "Kind of item")
	Attribute("name", String, "Name of the item")
	Attribute("fields", ArrayOf(String), "What changes within the item")
	Required("kind", "item", "name", "fields")
})

// KeyPayload is a key without its secret.
var KeyPayload = Type("KeyPayload", func() {
	Extend(Credential)
	Attribute("id", String, "ID of the key, chosen by the client", keyID)
	Attribute("customer", String, "Customer that the key belongs to")
	Attribute("salt", String, "Salt, 16 bytes in hex", func() { Pattern(`^[0-9a-f]{32}$`) })
	Attribute("hash", String, "SHA-256 over salt and secret in hex", func() { Pattern(`^[0-9a-f]{64}$`) })
	Required("id", "customer", "salt", "hash")
})

// KeyList is the issued keys.
var KeyList = Type("KeyList", func() {
	Attribute("keys", ArrayOf(IssuedKey), "The keys, ordered by customer and ID")
	Required("keys")
})

// IssuedKey is a key as operators see it.
var IssuedKey = Type("IssuedKey", func() {
	Attribute("id", String, "ID of the key")
	Attribute("customer", String, "Customer that the key belongs to")
	Attribute("withdrawn", Boolean, "Whether the key is withdrawn")
	Required("id", "customer", "withdrawn")
})

// WithdrawResult tells whether the withdrawn key was known.
var WithdrawResult = Type("WithdrawResult", func() {
	Attribute("known", Boolean, "Whether the node had heard of the key before")
	Required("known")
})

// FleetStatus is a node's view of the fleet.
var FleetStatus = Type("FleetStatus", func() {
	Attribute("member", String, "ID of the answering node")
	Attribute("version", UInt64, "Version of the configuration in force there")
	Attribute("change_id", String, "ID of the change that put it in force")
	Attribute("offset", UInt64, "First log offset that has not been applied")
	Attribute("log_next", UInt64, "Next offset of the log as last read")
	Attribute("log_contact_ms", Int64, "Time of the last contact with the log in Unix milliseconds; 0 for never")
	Attribute("members", ArrayOf(MemberStatus), "The live members")
	Required("member", "version", "change_id", "offset", "log_next", "log_contact_ms", "members")
})

// MemberStatus is what a node knows of a member.
var MemberStatus = Type("MemberStatus", func() {
	Attribute("id", String, "ID of the member")
	Attribute("service", String, "Service of its upstream instance")
	Attribute("failure_domain", String, "Failure domain of the instance")
	Attribute("caller_address", String, "Address for callers")
	Attribute("control_address", String, "Address for control messages")
	Attribute("call_address", String, "Address for calls between nodes")
	Attribute("draining", Boolean, "Whether it gets no new work")
	Attribute("announced_ms", Int64, "Time of its announcement in Unix milliseconds")
	Attribute("heard_ms", Int64, "When this node last heard of it, in Unix milliseconds; 0 for never")
	Attribute("version", UInt64, "Its version of the configuration as last heard")
	Attribute("offset", UInt64, "Its log offset as last heard")
	Attribute("lag", UInt64, "Number of log records it was behind")
	Required("id", "service", "failure_domain", "caller_address", "control_address", "call_address",
		"draining", "announced_ms", "heard_ms", "version", "offset", "lag")
})

// BurnReport is one node's service-level burn.
var BurnReport = Type("BurnReport", func() {
	Attribute("member", String, "ID of the reporting node")
	Attribute("at_ms", Int64, "Time of the report in Unix milliseconds")
	Attribute("rows", ArrayOf(BurnRow), "One row for each customer and route")
	Required("member", "at_ms", "rows")
})

// BurnRow holds the counts of one customer on one route.
var BurnRow = Type("BurnRow", func() {
	Attribute("customer", String, "Customer; empty on open routes")
	Attribute("route", String, "Name of the route")
	Attribute("objective", Float64, "Service-level objective; 0 for none")
	Attribute("windows", ArrayOf(BurnWindow), "Counts of each window")
	Required("customer", "route", "objective", "windows")
})

// BurnWindow holds the counts of one window.
var BurnWindow = Type("BurnWindow", func() {
	Attribute("seconds", Int64, "Length of the window")
	Attribute("total", UInt64, "Requests")
	Attribute("failed", UInt64, "Requests without a whole answer in time")
	Attribute("latency_sum_ms", Float64, "Sum of the latencies of the answered requests")
	Attribute("burn", Float64, "Error ratio over (1 - objective); 0 without an objective")
	Required("seconds", "total", "failed", "latency_sum_ms", "burn")
})

// NodeHealth tells whether a node can serve.
var NodeHealth = Type("NodeHealth", func() {
	Attribute("status", String, "State of the node", func() { Enum("ok", "starting", "draining") })
	Attribute("member", String, "ID of the node")
	Attribute("version", UInt64, "Version of the configuration in force")
	Required("status", "member", "version")
})
