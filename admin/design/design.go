// Package design describes the administration API in goa's language. The
// code in admin/gen is generated from it:
//
//	go tool goa gen github.com/gooseberryflow/gooseberryflow/admin/design -o admin
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 goa's designs are written in its language
)

var _ = API("gooseberryflow", func() {
	Title("gooseberryflow administration")
	Description("Configuration, keys, members and reports of a fleet. Any node answers for the whole fleet.")
	Version("1")
	Server("node", func() {
		Host("loopback", func() {
			URI("http://127.0.0.1:7403")
		})
	})
})

// Operator is the bearer token of an operator.
var Operator = JWTSecurity("operator", func() {
	Description("A bearer token from the settings of the node; it is opaque.")
})

var _ = Service("admin", func() {
	Description("Administration of the fleet through one of its nodes.")
	Security(Operator)

	Error("unauthorized", ErrorResult, "The operator's token is missing or wrong.")
	Error("invalid", ErrorResult, "The request is invalid; nothing was changed.")
	Error("not_found", ErrorResult, "There is no such item; nothing was changed.")
	Error("unavailable", ErrorResult, "The change was not made.", func() { Temporary() })
	Error("unknown_outcome", ErrorResult, "The change may have been made; it is safe to ask again.", func() { Temporary() })
	HTTP(func() {
		Path("/v1")
		Response("unauthorized", StatusUnauthorized)
		Response("invalid", StatusBadRequest)
		Response("not_found", StatusNotFound)
		Response("unavailable", StatusServiceUnavailable)
		Response("unknown_outcome", StatusGatewayTimeout)
	})

	Method("get_config", func() {
		Description("The configuration in force at the node.")
		Payload(Credential)
		Result(ConfigFile)
		HTTP(func() {
			GET("/config")
			Response(StatusOK)
		})
	})

	Method("apply", func() {
		Description("Applies an operators' file as a whole or not at all. Repeating a change with its change ID is idempotent.")
		Payload(ApplyPayload)
		Result(ChangeResult)
		HTTP(func() {
			POST("/config")
			changeResponses()
		})
	})

	Method("get_change", func() {
		Description("Reads the outcome of a change back from the log by its change ID.")
		Payload(func() {
			Extend(Credential)
			Attribute("change_id", String, "ID of the change", changeID)
			Required("change_id")
		})
		Result(ChangeResult)
		HTTP(func() {
			GET("/changes/{change_id}")
			changeResponses()
		})
	})

	Method("list_keys", func() {
		Description("The issued keys without their hashes.")
		Payload(func() {
			Extend(Credential)
			Attribute("customer", String, "Only the keys of this customer")
		})
		Result(KeyList)
		HTTP(func() {
			GET("/keys")
			Param("customer")
			Response(StatusOK)
		})
	})

	Method("issue_key", func() {
		Description("Issues a key. The client makes the secret and sends its salted hash, so the secret never reaches a node; repeating the request is idempotent.")
		Payload(KeyPayload)
		HTTP(func() {
			POST("/keys")
			Response(StatusNoContent)
		})
	})

	Method("withdraw_key", func() {
		Description("Withdraws a key for good, also while the platform's log is away.")
		Payload(func() {
			Extend(Credential)
			Attribute("id", String, "ID of the key", keyID)
			Required("id")
		})
		Result(WithdrawResult)
		HTTP(func() {
			DELETE("/keys/{id}")
			Response(StatusOK)
		})
	})

	Method("status", func() {
		Description("The node's view of the fleet: members, configuration versions, log offsets and lag.")
		Payload(Credential)
		Result(FleetStatus)
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
		})
	})

	Method("drain", func() {
		Description("Starts or ends the draining of a member. A draining member gets no new work.")
		Payload(func() {
			Extend(Credential)
			Attribute("id", String, "ID of the member", memberID)
			Attribute("on", Boolean, "Whether the member drains")
			Required("id", "on")
		})
		HTTP(func() {
			PUT("/members/{id}/draining")
			Response(StatusNoContent)
		})
	})

	Method("remove", func() {
		Description("Records that a member's incarnation has ended. It cannot be undone.")
		Payload(func() {
			Extend(Credential)
			Attribute("id", String, "ID of the member", memberID)
			Required("id")
		})
		HTTP(func() {
			DELETE("/members/{id}")
			Response(StatusNoContent)
		})
	})

	Method("report_burn", func() {
		Description("Service-level burn per customer and route, as seen by this node as entry node.")
		Payload(Credential)
		Result(BurnReport)
		HTTP(func() {
			GET("/report/burn")
			Response(StatusOK)
		})
	})

	Method("health", func() {
		Description("Whether the node can serve. It needs no token.")
		NoSecurity()
		Result(NodeHealth)
		HTTP(func() {
			GET("/health")
			Response(StatusOK)
		})
	})
})

var _ = Service("openapi", func() {
	Description("The OpenAPI description of this API. It needs no token.")
	Files("/openapi.json", "gen/http/openapi3.json")
})

// changeResponses maps the status of a change to HTTP. Accepted changes and
// valid trial runs give 200.
func changeResponses() {
	Response(StatusConflict, func() { Tag("status", "rejected") })
	Response(StatusAccepted, func() { Tag("status", "unknown") })
	Response(StatusOK)
}
