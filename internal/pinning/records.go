// Package pinning remembers at which pool and software version streams began, so that any node can continue
// them there. A stream's record is kept by the node that passed its first event on and by a few others,
// which are found by hashing its name. Beside the records the platform's store has one row for each pool,
// which says whether all its streams have begun at one version.
package pinning

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
	"unique"
)

const (
	// lifetime is how long a record is kept at least, unless there are too many: callers may take a
	// stream up long after it broke off.
	lifetime = 5 * time.Minute

	// maxRecords is how many records a node keeps, of some 70 bytes each. The older half is dropped first.
	maxRecords = 1 << 17
)

type (
	// Stream names a stream: a hash of its team and of the attempt that brought its first event.
	Stream [16]byte

	// Origin is where a stream began. The zero value stands for a name that several streams have.
	Origin struct {
		Pool    string
		Version string // Version is that of the software of the pool's engine.
	}

	// record is the origin of one stream.
	record struct {
		origin unique.Handle[Origin]
		at     time.Duration // at is when the first event was passed on, counted from the base of the records.
	}

	// records holds records in two generations. The older one is dropped as a whole.
	records struct {
		mu           sync.Mutex
		newer, older map[Stream]record
		base         time.Time
		since        time.Time // since is when the newer generation began.
		dropped      int64     // dropped counts the records that were dropped before their time.
	}
)

// StreamOf returns the name of the stream of a team that an attempt began.
func StreamOf(team, attempt string) Stream {
	text := binary.BigEndian.AppendUint32(nil, uint32(len(team)))
	text = append(append(text, team...), attempt...)
	hash := sha256.Sum256(text)
	return Stream(hash[:len(Stream{})])
}

// put adds the record of a stream, or keeps the present one for longer. Two streams of one name get the
// zero Origin.
func (r *records) put(now time.Time, s Stream, o Origin, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.find(s)
	if ok && known.origin.Value() != o {
		o = Origin{}
	}
	r.rotate(now)
	r.newer[s] = record{origin: unique.Make(o), at: at.Sub(r.base)}
}

// get returns the record of a stream.
func (r *records) get(s Stream) (o Origin, at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.find(s)
	if !ok {
		return Origin{}, time.Time{}, false
	}
	return known.origin.Value(), r.base.Add(known.at), true
}

// find returns the record of a stream. The caller holds the lock.
func (r *records) find(s Stream) (record, bool) {
	if known, ok := r.newer[s]; ok {
		return known, true
	}
	known, ok := r.older[s]
	return known, ok
}

// rotate begins a new generation if the present one is old or full. The caller holds the lock.
func (r *records) rotate(now time.Time) {
	full := len(r.newer) >= maxRecords/2
	switch {
	case r.newer == nil:
		r.base = now
	case full:
		r.dropped += int64(len(r.older))
	case now.Sub(r.since) < lifetime:
		return
	}
	r.older, r.newer, r.since = r.newer, map[Stream]record{}, now
}

// all returns all records as they are in messages.
func (r *records) all(now time.Time) map[Stream]wireRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Stream]wireRecord, len(r.newer)+len(r.older))
	for _, generation := range []map[Stream]record{r.older, r.newer} {
		for s, known := range generation {
			o := known.origin.Value()
			out[s] = wireRecord{Stream: s[:], Pool: o.Pool, Version: o.Version, AgeMs: now.Sub(r.base.Add(known.at)).Milliseconds()}
		}
	}
	return out
}

// counts returns the number of records, and of those that were dropped before their time.
func (r *records) counts() (kept, dropped int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.newer) + len(r.older)), r.dropped
}
