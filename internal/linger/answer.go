package linger

import "net/http"

// answer writes an answer whose head asks the caller to close the connection if the server ends, or its process leaves, by
// the time the answer begins: the caller would send its next request here otherwise.
type answer struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// WithLeaving sets what reports whether callers should go elsewhere. Connections on which nothing happens stay open meanwhile.
func WithLeaving(leaving func() bool) Option {
	return func(s *Server) { s.leaving = leaving }
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.begin()
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (a *answer) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap returns what http.ResponseController uses for the rest.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// begin completes the head of the answer unless it has been written.
func (a *answer) begin() {
	if !a.begun && (a.server.ending.Load() || a.server.leaving()) {
		a.Header().Set("Connection", "close")
	}
	a.begun = true
}
