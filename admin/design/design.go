// Package design defines the administration API in the design language of Goa.
// The code in admin/gen is generated from it:
//
//	go tool goa gen github.com/gooseberryflow/gooseberryflow/admin/design -o admin
package design

import (
	. "goa.design/goa/v3/dsl" //lint:ignore ST1001 Goa designs use its DSL without a package name
)

var _ = API("gooseberryflow", func() {
	Title("gooseberryflow administration")
	Description("Manages the configuration, keys and members of a fleet and returns reports. Every node serves the API for the whole fleet.")
	Version("1")
	Server("node", func() {
		Host("loopback", func() {
			URI("http://127.0.0.1:7403")
		})
	})
})

// Operator is the bearer token of an operator.
var Operator = JWTSecurity("operator", func() {
	Description("An opaque bearer token that is listed in the settings of the node.")
})

var _ = Service("admin", func() {
	Description("Administers the fleet through any of its nodes.")
	Security(Operator)

	Error("unauthorized", ErrorResult, "The operator's token is missing or wrong.")
	Error("invalid", ErrorResult, "The request is invalid; nothing was changed.")
	Error("not_found", ErrorResult, "The item does not exist; nothing was changed.")
	Error("unavailable", ErrorResult, "The change was not made.", func() { Temporary() })
	Error("unknown_outcome", ErrorResult, "The change may have been made; it is safe to repeat the request.", func() { Temporary() })
	HTTP(func() {
		Path("/v1")
		Response("unauthorized", StatusUnauthorized)
		Response("invalid", StatusBadRequest)
		Response("not_found", StatusNotFound)
		Response("unavailable", StatusServiceUnavailable)
		Response("unknown_outcome", StatusGatewayTimeout)
	})

	Method("get_config", func() {
		Description("Returns the configuration in force at the node.")
		Payload(Credential)
		Result(ConfigFile)
		HTTP(func() {
			GET("/config")
			Response(StatusOK)
		})
	})

	Method("apply", func() {
		Description("Applies an operators' file atomically. Repeating a request with the same change ID has no further effect.")
		Payload(ApplyPayload)
		Result(ChangeResult)
		HTTP(func() {
			POST("/config")
			changeResponses()
		})
	})

	Method("get_change", func() {
		Description("Returns the outcome of the change with a given change ID, as recorded in the log.")
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
		Description("Lists the issued keys without their hashes.")
		Payload(func() {
			Extend(Credential)
			Attribute("customer", String, "Return only the keys of this customer")
		})
		Result(KeyList)
		HTTP(func() {
			GET("/keys")
			Param("customer")
			Response(StatusOK)
		})
	})

	Method("issue_key", func() {
		Description("Issues a key. The client generates the secret and sends its salted hash, so that nodes never receive the secret. Repeating the request has no further effect.")
		Payload(KeyPayload)
		HTTP(func() {
			POST("/keys")
			Response(StatusNoContent)
		})
	})

	Method("withdraw_key", func() {
		Description("Withdraws a key permanently, even while the platform's log is unavailable.")
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
		Description("Returns the node's view of the fleet: members, configuration versions, log offsets and lag.")
		Payload(Credential)
		Result(FleetStatus)
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
		})
	})

	Method("drain", func() {
		Description("Starts or stops draining a member. A draining member receives no new requests.")
		Payload(func() {
			Extend(Credential)
			Attribute("id", String, "ID of the member", memberID)
			Attribute("on", Boolean, "Whether to start (true) or stop (false) draining")
			Required("id", "on")
		})
		HTTP(func() {
			PUT("/members/{id}/draining")
			Response(StatusNoContent)
		})
	})

	Method("remove", func() {
		Description("Records that a member's incarnation has ended. This cannot be undone.")
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
		Description("Returns request counts and error-budget burn rates by customer and route, for requests that entered at this node.")
		Payload(Credential)
		Result(BurnReport)
		HTTP(func() {
			GET("/report/burn")
			Response(StatusOK)
		})
	})

	Method("health", func() {
		Description("Reports whether the node can serve requests. Requires no token.")
		NoSecurity()
		Result(NodeHealth)
		HTTP(func() {
			GET("/health")
			Response(StatusOK)
		})
	})
})

var _ = Service("openapi", func() {
	Description("Serves the OpenAPI description of this API. Requires no token.")
	Files("/openapi.json", "gen/http/openapi3.json")
})

// changeResponses maps the status of a change to HTTP status codes. Accepted
// changes and valid dry runs return 200.
func changeResponses() {
	Response(StatusConflict, func() { Tag("status", "rejected") })
	Response(StatusAccepted, func() { Tag("status", "unknown") })
	Response(StatusOK)
}
