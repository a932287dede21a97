package soak

import (
	"cmp"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
)

// Ways in which an engine frames its answers.
const (
	frameChunked  frame = iota
	frameTrailers       // frameTrailers is chunked with a trailer.
	frameLength         // frameLength has a length and ends with its connection.
	frameNone           // frameNone has neither a length nor chunks and ends with its connection.
	frameOldHTTP        // frameOldHTTP is frameNone with a status line of HTTP/1.0.
	frameCount          // frameCount is the number of ways.
)

// frame is how an engine frames an answer.
type frame int

// frameOf returns how the answer to a request is framed.
func frameOf(id string) frame {
	h := fnv.New32a()
	h.Write([]byte(id + "/frame"))
	return frame(h.Sum32() % uint32(frameCount))
}

// endsUnseen reports whether an answer without a frame ends early, a stream after a whole event: nothing in it, nor at
// the end of its connection, tells it from a whole one.
func endsUnseen(id string, e result) bool {
	if f := frameOf(cmp.Or(e.last, id)); f != frameNone && f != frameOldHTTP {
		return false
	}
	if !isStream(e.route) {
		return strings.HasPrefix(expectedBody(e.route, id), e.body)
	}
	whole := ""
	for n := 1; n <= events(id); n++ {
		if whole += event(id, n); versionLine.ReplaceAllString(e.body, "") == whole {
			return true
		}
	}
	return false
}

// set prepares a response to be framed; length is that of its body.
func (f frame) set(w http.ResponseWriter, r *http.Request, length int) {
	switch f {
	case frameTrailers:
		w.Header().Set(http.TrailerPrefix+"Checksum", "1")
	case frameLength:
		w.Header().Set("Content-Length", strconv.Itoa(length))
		w.Header().Set("Connection", "close")
	case frameNone:
		w.Header().Set("Transfer-Encoding", "identity")
	case frameOldHTTP:
		r.ProtoMinor = 0 // The server takes the version of its answer from the request.
	}
}

// cut cuts off the body that has been written. Without a frame the connection ends as after a whole one.
func (f frame) cut() {
	if f != frameNone && f != frameOldHTTP {
		panic(http.ErrAbortHandler)
	}
}
