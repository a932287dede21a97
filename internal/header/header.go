// Package header handles HTTP headers: it removes the hop-by-hop ones before a message is
// forwarded, and reads the caller's key.
package header

import (
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

// Bearer returns the bearer token of a request, or an empty string.
func Bearer(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}
