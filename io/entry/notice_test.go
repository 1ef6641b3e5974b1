package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/throttle"
	"auburnlatch/io/upstream"
)

func TestParseLimit(t *testing.T) {
	named := func(perSecond float64) throttle.Notice {
		return throttle.Notice{Kind: throttle.Named, PerSecond: perSecond}
	}
	unreadable := throttle.Notice{Kind: throttle.Unreadable}
	for _, c := range []struct {
		name   string
		values []string
		want   throttle.Notice
	}{
		{"no field", nil, throttle.Notice{}},
		{"decimal", []string{"7.5"}, named(7.5)},
		{"integer", []string{"8"}, named(8)},
		{"spaces", []string{" 0.5 "}, named(0.5)},
		{"zero", []string{"0"}, named(0)},
		{"same twice", []string{"3", "3.0"}, named(3)},
		{"two limits", []string{"9", "3"}, named(3)},
		{"one of two unreadable", []string{"x", "3"}, named(3)},
		{"empty", []string{""}, unreadable},
		{"negative", []string{"-1"}, unreadable},
		{"no number", []string{"NaN"}, unreadable},
		{"infinite", []string{"Inf"}, unreadable},
		{"exponent", []string{"1e9"}, unreadable},
		{"out of range", []string{strings.Repeat("9", 400)}, unreadable},
		{"hexadecimal", []string{"0x10"}, unreadable},
		{"list", []string{"3, 9"}, unreadable},
		{"date", []string{"Thu, 03 Dec 2026 09:00:00 GMT"}, unreadable},
		{"two decimal points", []string{"1.2.3"}, unreadable},
	} {
		if got := parseLimit(c.values); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestLeaving(t *testing.T) {
	v := &VM{protocol: Protocol{Leaving: "Leaving"}}
	for _, c := range []struct {
		name   string
		values []string
		want   bool
	}{
		{"no field", nil, false},
		{"leaving", []string{"1"}, true},
		{"spaces", []string{" 1 "}, true},
		{"one of two", []string{"0", "1"}, true},
		{"not leaving", []string{"0"}, false},
		{"empty", []string{""}, false},
		{"another value", []string{"true"}, false},
		{"another number", []string{"11"}, false},
	} {
		if got := v.parseNotice(http.StatusOK, http.Header{"Leaving": c.values}).Leaving; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	v := &VM{}
	for _, c := range []struct {
		name   string
		status int
		values []string
		want   time.Duration
	}{
		{"no field", 503, nil, 0},
		{"seconds", 503, []string{"3"}, 3 * time.Second},
		{"parts of a second", 503, []string{" 0.25 "}, 250 * time.Millisecond},
		{"zero", 503, []string{"0"}, 0},
		{"two times", 503, []string{"1", "3"}, 3 * time.Second},
		{"one of two unreadable", 503, []string{"x", "3"}, 3 * time.Second},
		{"above the maximum", 503, []string{"99999999999999999999"}, upstream.MaxRetryAfter},
		{"another status", 429, []string{"3"}, 0},
		{"another response", 200, []string{"3"}, 0},
		{"empty", 503, []string{""}, 0},
		{"negative", 503, []string{"-3"}, 0},
		{"no number", 503, []string{"NaN"}, 0},
		{"exponent", 503, []string{"1e9"}, 0},
		{"date", 503, []string{"Thu, 03 Dec 2026 09:00:00 GMT"}, 0},
	} {
		if got := v.parseNotice(c.status, http.Header{"Retry-After": c.values}).RetryAfter; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func FuzzNotice(f *testing.F) {
	for _, text := range []string{"", "7.5", "-1", "NaN", "1e9", "Thu, 03 Dec 2026 09:00:00 GMT"} {
		f.Add(text, text)
	}
	v := &VM{protocol: Protocol{Limit: "Limit"}}
	f.Fuzz(func(t *testing.T, a, b string) {
		n := v.parseNotice(http.StatusServiceUnavailable, http.Header{"Limit": {a, b}, "Retry-After": {a, b}})
		if x := n.Limit.PerSecond; !(x >= 0) {
			t.Errorf("a limit of %v", x)
		}
		if n.RetryAfter < 0 || n.RetryAfter > upstream.MaxRetryAfter {
			t.Errorf("a pause of %v", n.RetryAfter)
		}
	})
}
