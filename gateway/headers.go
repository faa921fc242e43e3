package gateway

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// forwarded returns the headers without those of the connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // else the transport adds its own
	}
	return out
}
