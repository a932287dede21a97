// Package quarantine withholds requests that crash engines. It identifies equal requests, counts the engines
// that crashed while running each, and decides which requests are held, that is, no longer sent to engines.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

type (
	// Fingerprint identifies equal requests. The request can't be recovered from it: it is 64 bits of a
	// cryptographic hash.
	Fingerprint uint64

	// FingerprintInput is what makes two requests equal. The request id, the deadline and the choice among a
	// team's API keys are not part of it.
	FingerprintInput struct {
		Team   string // Team is empty where the route requires no key.
		Method string
		Host   string
		Target string // Target is the path and query.
		Model  string // Model is empty if only the body names the model.
		Body   []byte
	}
)

// FingerprintOf returns the fingerprint of a request. It takes 1.1 µs for a body of 1 KB and 0.74 ms for
// one of 1 MB (BenchmarkFingerprintOf).
func FingerprintOf(in FingerprintInput) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{in.Team, in.Method, in.Host, in.Target, in.Model} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // A hash never returns a write error.
		h.Write([]byte(part))
	}
	h.Write(in.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the fingerprint in hexadecimal, as in log lines and row keys.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
