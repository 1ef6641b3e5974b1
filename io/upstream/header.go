package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter is the longest time that RetryAfter returns.
const MaxRetryAfter = 24 * time.Hour

// RetryAfter returns how long an upstream that shed a request asks not to be sent others, by the
// Retry-After fields of its response header, or 0 if it names no time. Of several times the
// longest applies. Dates are ignored, since the clocks of the upstream and this VM may differ.
func RetryAfter(h http.Header) time.Duration {
	longest := 0.0
	for _, text := range h.Values("Retry-After") {
		if seconds, ok := Decimal(text); ok {
			longest = max(longest, seconds)
		}
	}
	return time.Duration(min(longest, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// Decimal parses a non-negative decimal number without an exponent.
func Decimal(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(x, 0) {
		return 0, false
	}
	return x, true
}
