package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// forwardedHeaders returns a copy of the headers without hop-by-hop headers and
// Content-Length.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // otherwise the transport adds its own
	}
	return out
}
