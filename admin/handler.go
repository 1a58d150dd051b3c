package admin

import (
	"context"
	"embed"
	"log/slog"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	apiserver "github.com/gooseberryflow/gooseberryflow/admin/gen/http/admin/server"
	docserver "github.com/gooseberryflow/gooseberryflow/admin/gen/http/openapi/server"
	docs "github.com/gooseberryflow/gooseberryflow/admin/gen/openapi"
)

// maxRequestBytes limits the body of a request. The largest is that of apply,
// which contains an operators' file as a JSON string.
const maxRequestBytes = 1 << 20

//go:embed gen/http/openapi3.json
var openAPIFile embed.FS

// NewHandler returns the HTTP handler of the API. Every method except health
// requires one of the operators' tokens, so an empty list disables these methods.
func NewHandler(b Backend, tokens []string, log *slog.Logger) http.Handler {
	s := &service{backend: b, tokens: newTokenSet(tokens), log: log, now: time.Now}
	mux := goahttp.NewMuxer()
	onError := func(_ context.Context, _ http.ResponseWriter, err error) {
		log.Warn("admin answer not sent", "error", err)
	}
	apiserver.New(api.NewEndpoints(s), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, onError, nil).Mount(mux)
	docserver.New(docs.NewEndpoints(nil), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, onError, nil, http.FS(openAPIFile)).Mount(mux)
	return http.MaxBytesHandler(mux, maxRequestBytes)
}
