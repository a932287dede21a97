// Package quarantine keeps requests from engines under which engines have crashed: which requests
// are the same, under which of them how many engines ended, and which get no engine any more.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

type (
	// Fingerprint tells whether two requests are the same work. A request is not to be found from
	// it: it is 64 bits of a cryptographic hash.
	Fingerprint uint64

	// FingerprintInput is what makes two requests the same: who asks whom for what. An id, a deadline or another
	// key of the same team does not make another request of it.
	FingerprintInput struct {
		Team   string // Team is empty where the route needs no key.
		Method string
		Host   string
		Target string // Target is the path and query.
		Model  string // Model is empty where only the body names it.
		Body   []byte
	}
)

// FingerprintOf returns the fingerprint of a request. A body of 1 KB takes 1.1 µs and one of 1 MB
// 0.74 ms (BenchmarkFingerprintOf).
func FingerprintOf(w FingerprintInput) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{w.Team, w.Method, w.Host, w.Target, w.Model} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // A hash never fails to take bytes.
		h.Write([]byte(part))
	}
	h.Write(w.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the fingerprint as log lines show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
