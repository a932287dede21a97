// Package header handles HTTP headers: it removes the hop-by-hop ones before a message is
// forwarded, and reads the caller's key and how a body is framed.
package header

import (
	"errors"
	"mime"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop names the headers that concern one connection only. Content-Length is among them: each
// hop states the length of the body it sends.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones: the known ones and those
// that the message names in Connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// EventStream reports whether a message says that its body is a stream of server-sent events.
func EventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil && !errors.Is(err, mime.ErrInvalidMediaParameter) {
		return false
	}
	return mediaType == "text/event-stream"
}

// Unframed reports whether a response has neither a length nor chunks, so that the end of its
// connection is that of its body.
func Unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// Bearer returns the bearer token of a request, or an empty string.
func Bearer(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}
