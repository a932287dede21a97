package dispatch

import (
	"net/http"
	"time"
)

const (
	// NoRoute means that no route matches the host and path.
	NoRoute Reason = "no_route"

	// UnknownKey means that no team has the key.
	UnknownKey Reason = "unknown_key"

	// TooLarge means that the body is longer than the configuration allows.
	TooLarge Reason = "body_too_large"

	// BadRequest means that the request is malformed.
	BadRequest Reason = "bad_request"

	// BodiesFull means that the bodies of other requests take the memory that its body needs.
	BodiesFull Reason = "request_bodies_full"

	// TooSlow means that the caller did not send its request in time.
	TooSlow Reason = "request_too_slow"

	// NotReady means that the node has no configuration yet.
	NotReady Reason = "no_configuration"

	// Stale means that the node cannot prove that its configuration is the newest.
	Stale Reason = "configuration_not_proven"

	// Stopping means that the node stops before the request could end.
	Stopping Reason = "node_stopping"

	// CutOff means that the node stopped while an engine ran the request.
	CutOff Reason = "cut_off_by_stop"

	// NoEngine means that no engine of the pool could be reached.
	NoEngine Reason = "no_engine"

	// Busy means that the request cannot be served on time now.
	Busy Reason = "busy"

	// EnginesFull means that the engines rejected the request without running it.
	EnginesFull Reason = "engines_full"

	// EngineFailed means that an engine failed after the request was sent.
	EngineFailed Reason = "engine_failed"

	// TimedOut means that no answer arrived in time; the request may have run.
	TimedOut Reason = "timed_out"

	// CrashesEngines means that engines crashed repeatedly under the same request, which is sent to
	// no more engines. Only statuses such as 400 tell callers of all kinds of routes not to retry.
	CrashesEngines Reason = "crashes_engines"

	// MayCrashEngines means that engines crashed repeatedly under a part of the prompt, and that it will soon be
	// known whether that part or another one is the cause.
	MayCrashEngines Reason = "may_crash_engines"

	// VersionUnknown means that no node knows at which software version the stream began which the
	// caller takes up, and its pool has had several.
	VersionUnknown Reason = "version_unknown"

	// VersionUnanswered means the same, but that nodes or the store which may know did not answer.
	VersionUnanswered Reason = "version_unanswered"

	// VersionGone means that the version at which the stream began has no engines any more.
	VersionGone Reason = "version_gone"

	// Expired means that the deadline passed before the request was sent to an engine.
	Expired Reason = "expired"

	// CallerLeft means that the caller closed its connection, or its writing side, before the request was sent to an
	// engine, or while it was.
	CallerLeft Reason = "caller_left"

	// CallerTooSlow means that the caller was cut off because it did not read its answer.
	CallerTooSlow Reason = "caller_too_slow"
)

type (
	// Reason is why a request was not served.
	Reason string

	// Refusal is the final answer to a request that no engine answered.
	Refusal struct {
		Reason     Reason
		RetryAfter time.Duration // RetryAfter is when the caller should retry; 0 if it should not, or may at once.
		Version    int           // Version is that of the configuration that another node refused the request by; 0 for this node's.
	}
)

// statuses maps reasons to HTTP statuses. 408, 429 and 503 guarantee that the request has not run;
// 502 and 504 guarantee nothing.
var statuses = map[Reason]int{
	NoRoute:           http.StatusNotFound,
	UnknownKey:        http.StatusUnauthorized,
	TooLarge:          http.StatusRequestEntityTooLarge,
	BadRequest:        http.StatusBadRequest,
	TooSlow:           http.StatusRequestTimeout,
	BodiesFull:        http.StatusServiceUnavailable,
	NotReady:          http.StatusServiceUnavailable,
	Stale:             http.StatusServiceUnavailable,
	Stopping:          http.StatusServiceUnavailable,
	NoEngine:          http.StatusServiceUnavailable,
	Busy:              http.StatusServiceUnavailable,
	EnginesFull:       http.StatusServiceUnavailable,
	VersionUnknown:    http.StatusServiceUnavailable,
	VersionUnanswered: http.StatusServiceUnavailable,
	VersionGone:       http.StatusServiceUnavailable,
	CrashesEngines:    http.StatusBadRequest,
	MayCrashEngines:   http.StatusServiceUnavailable,
	Expired:           http.StatusServiceUnavailable,
	CallerLeft:        http.StatusServiceUnavailable,
	CutOff:            http.StatusBadGateway,
	EngineFailed:      http.StatusBadGateway,
	TimedOut:          http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a refusal.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusBadGateway
}

// MayHaveRun reports whether a refused request may still have run.
func (r Reason) MayHaveRun() bool {
	return r.Status() == http.StatusBadGateway || r.Status() == http.StatusGatewayTimeout
}

// NoRoomForBody returns the refusal of a request whose body has no room here. Another node may have some.
func NoRoomForBody() *Refusal { return &Refusal{Reason: BodiesFull, RetryAfter: shortRetryAfter} }
