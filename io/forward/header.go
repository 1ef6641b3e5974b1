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

	// HeaderRelay marks a request that a VM relays for its caller, as First or Retry. A
	// caller that sets it is refused sooner and retried less, and gains nothing.
	HeaderRelay = "Auburnlatch-Relay"
	// HeaderRelayFrom names the VM that relays a request.
	HeaderRelayFrom = "Auburnlatch-Relay-From"
	// HeaderRules is the version of the rules that must be in force for a relayed request, and
	// in its response the version by which it was handled.
	HeaderRules = "Auburnlatch-Rules"

	headerMode    = "Auburnlatch-Mode"
	headerOrigin  = "Auburnlatch-Origin"
	headerPrint   = "Auburnlatch-Print"
	headerRefused = "Auburnlatch-Refused"
	// reservedPrefix starts the names of all reserved fields.
	reservedPrefix = "Auburnlatch-"
)

// RelayKind says what is known of a relayed request.
type RelayKind string

const (
	// First has not been sent to any upstream. The receiver counts and treats it like a request
	// of its own callers.
	First RelayKind = "First"
	// Retry has been sent to an upstream before, and sending it once more has been counted.
	Retry RelayKind = "Retry"
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

// StripReserved removes the reserved fields, so that neither a caller nor an upstream
// can forge them.
func StripReserved(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, reservedPrefix) {
			h.Del(name)
		}
	}
}
