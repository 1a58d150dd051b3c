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

// maxRequestBytes bounds the body of a request: a file as JSON text.
const maxRequestBytes = 1 << 20

//go:embed gen/http/openapi3.json
var openAPIFile embed.FS

// NewHandler returns the handler of the API. It accepts the given operators'
// tokens; without any, every method but health is refused.
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
