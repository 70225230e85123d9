package authenticator

import (
	"net/http"

	"oleandertally/core/configurator"
)

// LimitBody limits request bodies to max bytes. It answers 413 without reading the body if Content-Length
// is larger. Otherwise reading more than max bytes fails with an *http.MaxBytesError.
func LimitBody(next http.Handler, max configurator.ByteSize) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > int64(max) {
			w.Header().Set("Connection", "close") // otherwise the server reads the rest of the body
			http.Error(w, "the body is longer than "+max.String(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, int64(max))
		next.ServeHTTP(w, r)
	})
}
