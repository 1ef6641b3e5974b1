package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxPause bounds the time for which RetryAfter returns that an upstream is to be left alone.
const MaxPause = 24 * time.Hour

// RetryAfter returns how long an upstream that turned a request away wants to be left alone, by
// the header of its answer; 0: it does not say. Of several times the longest holds. A date is
// none: an upstream's time of day is not this VM's.
func RetryAfter(h http.Header) time.Duration {
	longest := 0.0
	for _, text := range h.Values("Retry-After") {
		if seconds, ok := Decimal(text); ok {
			longest = max(longest, seconds)
		}
	}
	return time.Duration(min(longest, MaxPause.Seconds()) * float64(time.Second))
}

// Decimal parses a decimal number that is not negative, without an exponent.
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
