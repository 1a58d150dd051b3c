package sidecar

// Importing these packages registers the plug-ins available to a sidecar node.
import (
	_ "github.com/gooseberryflow/gooseberryflow/admission/graph"
	_ "github.com/gooseberryflow/gooseberryflow/auth"
	_ "github.com/gooseberryflow/gooseberryflow/quarantine"
	_ "github.com/gooseberryflow/gooseberryflow/ratelimit/quota"
	_ "github.com/gooseberryflow/gooseberryflow/retry"
	_ "github.com/gooseberryflow/gooseberryflow/routing"
)
