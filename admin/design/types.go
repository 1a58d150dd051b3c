package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 Goa designs use its DSL without a package name
)

// maxFileLength is a coarse limit on the length of an operators' file;
// config.Parse enforces the exact limit on its size.
const maxFileLength = 512 << 10

func changeID() { Pattern(`^[A-Za-z0-9-]{8,64}$`) }
func keyID()    { Pattern(`^[a-z0-9]{8,40}$`) }
func memberID() { Pattern(`^[A-Za-z0-9-]{1,64}$`) }

// Credential contains the operator's token. All payloads that need it extend it.
var Credential = Type("Credential", func() {
	Token("token", String, "The operator's bearer token")
})

// ConfigFile is the configuration in force.
var ConfigFile = Type("ConfigFile", func() {
	Attribute("file", String, "Text of the operators' file; empty if none has been applied yet")
	Attribute("version", UInt64, "Version of the configuration; 0 if none has been applied yet")
	Attribute("change_id", String, "ID of the change that put it in force")
	Required("file", "version", "change_id")
})

// ApplyPayload is a change of the configuration.
var ApplyPayload = Type("ApplyPayload", func() {
	Extend(Credential)
	Attribute("file", String, "Text of the operators' file", func() { MaxLength(maxFileLength) })
	Attribute("base_version", UInt64, "Version of the configuration that the file is based on")
	Attribute("change_id", String, "ID of the change, a UUID chosen by the client", changeID)
	Attribute("dry_run", Boolean, "Only validate the file and compare it with the file in force", func() { Default(false) })
	Required("file", "base_version", "change_id")
})

// ChangeResult is the outcome of a change.
var ChangeResult = Type("ChangeResult", func() {
	Attribute("status", String, "Outcome of the change; valid is the outcome of a dry run", func() {
		Enum("accepted", "rejected", "unknown", "valid")
	})
	Attribute("version", UInt64, "Version created by an accepted change, otherwise the version in force")
	Attribute("change_id", String, "ID of the change")
	Attribute("reason", String, "Why the change was rejected or its outcome is unknown")
	Attribute("faults", ArrayOf(FileFault), "All errors in the file")
	Attribute("changes", ArrayOf(ConfigChange), "Changes that the file would make; set for a dry run")
	Required("status", "version", "change_id")
})

// FileFault is an error in an operators' file.
var FileFault = Type("FileFault", func() {
	Attribute("line", Int, "Line number, counted from 1; 0 for the whole file")
	Attribute("key", String, "Full path of the TOML key")
	Attribute("reason", String, "Reason for the error")
	Required("line", "key", "reason")
})

// ConfigChange is an item that differs between two operators' files.
var ConfigChange = Type("ConfigChange", func() {
	Attribute("kind", String, "How the item changes", func() { Enum("added", "removed", "changed") })
	Attribute("item", String, "Kind of item")
	Attribute("name", String, "Name of the item")
	Attribute("fields", ArrayOf(String), "Changed fields of the item")
	Required("kind", "item", "name", "fields")
})

// KeyPayload is a key to be issued, without its secret.
var KeyPayload = Type("KeyPayload", func() {
	Extend(Credential)
	Attribute("id", String, "ID of the key, chosen by the client", keyID)
	Attribute("customer", String, "Customer that the key belongs to")
	Attribute("salt", String, "Salt, 16 bytes in hexadecimal", func() { Pattern(`^[0-9a-f]{32}$`) })
	Attribute("hash", String, "SHA-256 sum of salt and secret in hexadecimal", func() { Pattern(`^[0-9a-f]{64}$`) })
	Required("id", "customer", "salt", "hash")
})

// KeyList lists the issued keys.
var KeyList = Type("KeyList", func() {
	Attribute("keys", ArrayOf(IssuedKey), "The keys, ordered by customer and ID")
	Required("keys")
})

// IssuedKey is an issued key without salt and hash.
var IssuedKey = Type("IssuedKey", func() {
	Attribute("id", String, "ID of the key")
	Attribute("customer", String, "Customer that the key belongs to")
	Attribute("withdrawn", Boolean, "Whether the key is withdrawn")
	Required("id", "customer", "withdrawn")
})

// WithdrawResult is the result of withdrawing a key.
var WithdrawResult = Type("WithdrawResult", func() {
	Attribute("known", Boolean, "Whether the node knew the key before its withdrawal")
	Required("known")
})

// FleetStatus is a node's view of the fleet.
var FleetStatus = Type("FleetStatus", func() {
	Attribute("member", String, "ID of the node that sent the response")
	Attribute("version", UInt64, "Version of the configuration in force at that node")
	Attribute("change_id", String, "ID of the change that put it in force")
	Attribute("offset", UInt64, "First log offset that the node has not applied")
	Attribute("log_next", UInt64, "Next offset of the log as of the last read")
	Attribute("log_contact_ms", Int64, "Time of the last read of the log in Unix milliseconds; 0 for never")
	Attribute("members", ArrayOf(MemberStatus), "The live members")
	Required("member", "version", "change_id", "offset", "log_next", "log_contact_ms", "members")
})

// MemberStatus is what a node knows about a member.
var MemberStatus = Type("MemberStatus", func() {
	Attribute("id", String, "ID of the member")
	Attribute("service", String, "Service of the member's upstream instance")
	Attribute("failure_domain", String, "Failure domain of the instance")
	Attribute("caller_address", String, "Address for callers")
	Attribute("control_address", String, "Address for control messages")
	Attribute("call_address", String, "Address for calls between nodes")
	Attribute("draining", Boolean, "Whether the member is draining and receives no new requests")
	Attribute("announced_ms", Int64, "Time of the member's announcement in Unix milliseconds")
	Attribute("heard_ms", Int64, "Time of the member's latest known report in Unix milliseconds; 0 for never")
	Attribute("version", UInt64, "Version of the configuration in the latest report")
	Attribute("offset", UInt64, "Log offset in the latest report")
	Attribute("lag", UInt64, "Number of log records by which the member was behind")
	Required("id", "service", "failure_domain", "caller_address", "control_address", "call_address",
		"draining", "announced_ms", "heard_ms", "version", "offset", "lag")
})

// BurnReport holds the request counts and burn rates of one node.
var BurnReport = Type("BurnReport", func() {
	Attribute("member", String, "ID of the reporting node")
	Attribute("at_ms", Int64, "Time of the report in Unix milliseconds")
	Attribute("rows", ArrayOf(BurnRow), "Rows, one for each customer and route")
	Required("member", "at_ms", "rows")
})

// BurnRow holds the counts of a customer on a route.
var BurnRow = Type("BurnRow", func() {
	Attribute("customer", String, "Customer; empty on open routes")
	Attribute("route", String, "Name of the route")
	Attribute("objective", Float64, "Service-level objective; 0 for none")
	Attribute("windows", ArrayOf(BurnWindow), "Counts of each window")
	Required("customer", "route", "objective", "windows")
})

// BurnWindow holds the counts of a window.
var BurnWindow = Type("BurnWindow", func() {
	Attribute("seconds", Int64, "Length of the window in seconds")
	Attribute("total", UInt64, "Requests")
	Attribute("failed", UInt64, "Requests that failed or missed their deadline")
	Attribute("latency_sum_ms", Float64, "Total latency of the requests that did not fail, in milliseconds")
	Attribute("burn", Float64, "Burn rate: error ratio divided by (1 - objective); 0 without an objective")
	Required("seconds", "total", "failed", "latency_sum_ms", "burn")
})

// NodeHealth reports whether a node can serve requests.
var NodeHealth = Type("NodeHealth", func() {
	Attribute("status", String, "State of the node", func() { Enum("ok", "starting", "draining") })
	Attribute("member", String, "ID of the node")
	Attribute("version", UInt64, "Version of the configuration in force")
	Required("status", "member", "version")
})
