package dispatch

import (
	"net/http"
	"time"
)

const (
	// NoRoute says that no route has the host and path.
	NoRoute Reason = "no_route"

	// UnknownKey says that no team holds the key.
	UnknownKey Reason = "unknown_key"

	// TooLarge says that the body is longer than the configuration allows.
	TooLarge Reason = "body_too_large"

	// BadRequest says that the request can't be understood.
	BadRequest Reason = "bad_request"

	// TooSlow says that the caller did not send its request in time.
	TooSlow Reason = "request_too_slow"

	// NotReady says that the node knows no configuration yet.
	NotReady Reason = "no_configuration"

	// Stale says that the node can't prove that its configuration is the newest.
	Stale Reason = "configuration_not_proven"

	// Stopping says that the node stops before the request could end.
	Stopping Reason = "node_stopping"

	// NoEngine says that the pool has no engine that could be reached.
	NoEngine Reason = "no_engine"

	// Busy says that the request can't be served on time now.
	Busy Reason = "busy"

	// EnginesFull says that the engines turned the request away without running it.
	EnginesFull Reason = "engines_full"

	// EngineFailed says that an engine failed after the request was sent.
	EngineFailed Reason = "engine_failed"

	// TimedOut says that no answer came in time; the request may have run.
	TimedOut Reason = "timed_out"

	// CrashesEngines says that engines have ended under the same request again and again, and that it
	// gets no more. Of the statuses only 400 and its like tell callers of all kinds of routes not to come again.
	CrashesEngines Reason = "crashes_engines"

	// CallerLeft says that the caller closed its connection.
	CallerLeft Reason = "caller_left"
)

type (
	// Reason says why a request was not served.
	Reason string

	// Refusal is a request's final answer where no engine gave one.
	Refusal struct {
		Reason     Reason
		RetryAfter time.Duration // RetryAfter is when the caller should ask again; 0 if it should not, or at once.
	}
)

// statuses are the HTTP statuses of refusals. 408, 429 and 503 promise that the
// request has not run; 502 and 504 promise nothing.
var statuses = map[Reason]int{
	NoRoute:        http.StatusNotFound,
	UnknownKey:     http.StatusUnauthorized,
	TooLarge:       http.StatusRequestEntityTooLarge,
	BadRequest:     http.StatusBadRequest,
	TooSlow:        http.StatusRequestTimeout,
	NotReady:       http.StatusServiceUnavailable,
	Stale:          http.StatusServiceUnavailable,
	Stopping:       http.StatusServiceUnavailable,
	NoEngine:       http.StatusServiceUnavailable,
	Busy:           http.StatusServiceUnavailable,
	EnginesFull:    http.StatusServiceUnavailable,
	CrashesEngines: http.StatusBadRequest,
	EngineFailed:   http.StatusBadGateway,
	TimedOut:       http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a refusal.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusBadGateway
}

// MayHaveRun reports whether a refused request may have run nevertheless.
func (r Reason) MayHaveRun() bool {
	return r.Status() == http.StatusBadGateway || r.Status() == http.StatusGatewayTimeout
}
