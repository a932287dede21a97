package feed

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

const (
	// compressAbove is the size in bytes above which a value is stored and sent compressed: a
	// configuration of 100 routes has 20 KB, an engine's entry 250 bytes. A configuration of 2,800
	// routes shrinks from 596,412 bytes to 56,429; one of 576,800 takes 4.9 ms of a core (BenchmarkCompress).
	compressAbove = 4 << 10

	// maxValueBytes limits the size of a decompressed value; the store's replies have the same limit.
	maxValueBytes = 8 << 20
)

// errTooLarge reports that a decompressed value exceeds the store's limit.
var errTooLarge = errors.New("value is too large")

// PeerRow is a row as nodes store it and send it to each other. A large value is compressed once,
// by the node that reads it from the store, and forwarded as it is: when each reply was encoded
// separately, forty concurrent requests took two seconds of a small node's processor.
type PeerRow struct {
	Row
	Compressed []byte `json:"z,omitempty"` // Compressed replaces a large Value.

	removed *PeerRow // removed is the row that a deletion removed here; nil if it is unknown.
}

// peerRows converts rows of the store to PeerRows.
func peerRows(rows []Row) []PeerRow {
	out := make([]PeerRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, PeerRow{Row: r})
	}
	return out
}

// compress returns the row with a large value replaced by its compressed form.
func (s PeerRow) compress() PeerRow {
	if s.Compressed == nil && len(s.Value) > compressAbove {
		compressed, err := gzipBytes(s.Value, gzip.DefaultCompression)
		if err != nil {
			return s // The row is then sent uncompressed.
		}
		s.Compressed = compressed
	}
	if s.Compressed != nil {
		s.Value = nil
	}
	return s
}

// decompress returns the row with its value restored.
func (s PeerRow) decompress() (PeerRow, error) {
	if s.Compressed == nil {
		return s, nil
	}
	var err error
	if s.Value, err = gunzipBytes(s.Compressed, maxValueBytes); err != nil {
		return s, fmt.Errorf("unpack %s: %w", s.Key, err)
	}
	return s, nil
}

// gzipBytes compresses bytes at a gzip level.
func gzipBytes(plain []byte, level int) ([]byte, error) {
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

// gunzipBytes decompresses bytes; the result may have at most limit bytes.
func gunzipBytes(compressed []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	switch {
	case err != nil:
		return nil, err
	case len(plain) > limit:
		return nil, errTooLarge
	}
	return plain, nil
}

// decompressRows returns the rows with their values restored.
func decompressRows(rows []PeerRow) ([]PeerRow, error) {
	out := make([]PeerRow, 0, len(rows))
	for _, r := range rows {
		r, err := r.decompress()
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// payloadSize returns the total size of the rows' values as sent, in bytes.
func payloadSize(rows []PeerRow) int {
	n := 0
	for _, r := range rows {
		n += len(r.Value) + len(r.Compressed)
	}
	return n
}
