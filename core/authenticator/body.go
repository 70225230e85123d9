package authenticator

import (
	"net/http"

	"oleandertally/core/configurator"
)

// LimitBody answers 413 to a request that declares a longer body, without reading it, and ends
// the reading of any other after max bytes with an *http.MaxBytesError.
func LimitBody(next http.Handler, max configurator.ByteSize) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > int64(max) {
			w.Header().Set("Connection", "close") // or the server would read the rest
			http.Error(w, "the body is longer than "+max.String(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, int64(max))
		next.ServeHTTP(w, r)
	})
}
