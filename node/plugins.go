package node

// Importing these packages registers the plug-ins available to a node.
import (
	_ "github.com/gooseberryflow/gooseberryflow/admission"
	_ "github.com/gooseberryflow/gooseberryflow/auth"
	_ "github.com/gooseberryflow/gooseberryflow/claims"
	_ "github.com/gooseberryflow/gooseberryflow/quarantine"
	_ "github.com/gooseberryflow/gooseberryflow/ratelimit"
	_ "github.com/gooseberryflow/gooseberryflow/retry"
	_ "github.com/gooseberryflow/gooseberryflow/routing"
)
