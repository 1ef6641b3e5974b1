package forward

import (
	"net/http"
	"strings"
)

// Reserved header fields.
const (
	HeaderVerdict  = "Auburnlatch-Verdict"
	HeaderReason   = "Auburnlatch-Reason"
	HeaderTimeout  = "Auburnlatch-Timeout-Ms"
	HeaderPlace    = "Auburnlatch-Place"
	HeaderCaller   = "Auburnlatch-Caller"
	HeaderReplayed = "Auburnlatch-Replayed"

	headerMode    = "Auburnlatch-Mode"
	headerOrigin  = "Auburnlatch-Origin"
	headerPrint   = "Auburnlatch-Print"
	headerRefused = "Auburnlatch-Refused"
	// reservedPrefix starts the names of all reserved fields.
	reservedPrefix = "Auburnlatch-"
)

// hopByHop are the fields that concern a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// StripHopByHop removes the hop-by-hop fields, including those that the
// Connection field names.
func StripHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripOwn removes the reserved fields, so that neither a caller nor an upstream
// can forge them.
func StripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, reservedPrefix) {
			h.Del(name)
		}
	}
}
