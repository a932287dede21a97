package feed

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

const (
	// packAbove is the size, in bytes, from which a value is kept and told to peers packed: a
	// configuration of 100 routes has 20 KB, an engine's entry 250 bytes. A configuration of 2,800
	// routes, 596,412 bytes, becomes 56,429; one of 576,800 takes 4.9 ms of a core (BenchmarkPack).
	packAbove = 4 << 10

	// unpackedMost bounds a value that is unpacked, in bytes, as the store's answers are.
	unpackedMost = 8 << 20
)

// errTooLarge says that a packed value is larger than any that the store gives.
var errTooLarge = errors.New("value is too large")

// PeerRow is a row as nodes keep it and tell it to each other. A large value is packed
// once, by the node that read it from the store, and passed on as it is: forty nodes that ask at once
// took two seconds of a small node's processor where each answer was encoded anew.
type PeerRow struct {
	Row
	Packed []byte `json:"z,omitempty"` // Packed stands in place of a large value.
}

// peerRows returns rows of the store as peers tell them.
func peerRows(rows []Row) []PeerRow {
	out := make([]PeerRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, PeerRow{Row: r})
	}
	return out
}

// pack returns the row without its value where this is large, packed.
func (s PeerRow) pack() PeerRow {
	if s.Packed == nil && len(s.Value) > packAbove {
		packed, err := zip(s.Value, gzip.DefaultCompression)
		if err != nil {
			return s // A row that is not packed is told as it is.
		}
		s.Packed = packed
	}
	if s.Packed != nil {
		s.Value = nil
	}
	return s
}

// unpack returns the row with its value.
func (s PeerRow) unpack() (PeerRow, error) {
	if s.Packed == nil {
		return s, nil
	}
	var err error
	if s.Value, err = unzip(s.Packed, unpackedMost); err != nil {
		return s, fmt.Errorf("unpack %s: %w", s.Key, err)
	}
	return s, nil
}

// zip packs bytes.
func zip(plain []byte, level int) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, level)
	if err != nil {
		return nil, err
	}
	_, err = w.Write(plain)
	if err := errors.Join(err, w.Close()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unzip returns packed bytes as they were, of which there may be at most so many.
func unzip(packed []byte, most int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	switch {
	case err != nil:
		return nil, err
	case len(plain) > most:
		return nil, errTooLarge
	}
	return plain, nil
}

// unpackAll returns rows with their values.
func unpackAll(rows []PeerRow) ([]PeerRow, error) {
	out := make([]PeerRow, 0, len(rows))
	for _, r := range rows {
		r, err := r.unpack()
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// size returns how many bytes the values of rows take on their way.
func size(rows []PeerRow) int {
	n := 0
	for _, r := range rows {
		n += len(r.Value) + len(r.Packed)
	}
	return n
}
