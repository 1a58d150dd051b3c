// Package pins keeps the versions of libraries in go.mod until the packages
// that use them have landed.
package pins

import (
	_ "github.com/HdrHistogram/hdrhistogram-go" // histograms
	_ "github.com/cespare/xxhash/v2"            // hashing
	_ "github.com/fxamacker/cbor/v2"            // serialization
	_ "github.com/google/uuid"                  // UUIDv7
	_ "github.com/pelletier/go-toml/v2"         // settings
	_ "github.com/peterbourgon/ff/v3"           // command line
	_ "github.com/peterbourgon/ff/v3/ffcli"     // command line
	_ "github.com/quic-go/quic-go"              // node transport
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "goa.design/goa/v3/dsl"
	_ "goa.design/goa/v3/http"
	_ "goa.design/goa/v3/pkg"
	_ "pgregory.net/rapid" // property tests
)
