package main

import (
	"strings"
	"testing"
	"time"
)

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

func TestJudgeRules(t *testing.T) {
	versions := []version{{1, at(0), at(0)}, {2, at(10), at(10)}}
	ask := func(number, status int, sent float64, incarnation int32) probe {
		return probe{vm: "vm-1", incarnation: incarnation, version: number, status: status, intact: true, sent: at(sent), answered: at(sent + 0.01)}
	}
	for _, tc := range []struct {
		name   string
		probes []probe
		want   string // Substring of the error; "" for none.
	}{
		{"in force", []probe{ask(1, 200, 8, 1), ask(2, 200, 11, 1), ask(1, 404, 12, 1)}, ""},
		{"not yet, in time", []probe{ask(2, 404, 16, 1), ask(1, 200, 16, 1)}, ""},
		{"not in force in time", []probe{ask(2, 404, 18, 1)}, "not in force"},
		{"replaced version still in force", []probe{ask(1, 200, 18, 1)}, "still in force"},
		{"older version after a newer one", []probe{ask(2, 200, 11, 1), ask(1, 200, 12, 1)}, "went back"},
		{"older response within the slack", []probe{ask(2, 200, 11, 1), ask(1, 200, 11.1, 1)}, ""},
		{"another process", []probe{ask(2, 200, 11, 1), ask(1, 200, 12, 2)}, ""},
		{"incomplete response", []probe{{vm: "vm-1", version: 1, status: 200, sent: at(1), answered: at(1)}}, "the response was incomplete or another request's: vm-1"},
	} {
		got := strings.Join(judgeRules(tc.probes, versions), "; ")
		if (tc.want == "") != (got == "") || !strings.Contains(got, tc.want) {
			t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
}

func TestJudgeRetries(t *testing.T) {
	var requests, few, many []time.Time
	for i := range 1000 {
		requests = append(requests, at(float64(i)/100))
		if i%5 == 0 {
			few = append(few, at(float64(i)/100))
		}
		if i%3 == 0 {
			many = append(many, at(float64(i)/100))
		}
	}
	for _, tc := range []struct {
		name    string
		repeats []time.Time
		broken  bool
	}{
		{"none", nil, false},
		{"a fifth", few, false},
		{"a third", many, true},
	} {
		if got := judgeRetries(requests, tc.repeats); (len(got) > 0) != tc.broken {
			t.Errorf("%s: got %v, want broken %v", tc.name, got, tc.broken)
		}
	}
}
