package entry_test

import (
	"net/http"
	"testing"

	"auburnlatch/io/entry"
	"auburnlatch/io/logline"
	"auburnlatch/io/settings"
)

// The lines about one request must explain its result without a look at the source:
// docs/OPERATIONS.md documents these events and fields.
func TestLogsExplainARequest(t *testing.T) {
	type want struct {
		event  string
		fields map[string]string
	}
	for _, tc := range []struct {
		name string
		path string
		h    func(http.ResponseWriter, *http.Request)
		want []want
	}{
		{"refused without capacity", "/home/1", nil, []want{
			{"RequestGivenUp", map[string]string{"Reason": "NoCapacity", "Verdict": "NotRun", "Status": "503", "Route": "home", "Service": "s", "RetryAfterMs": "250", "UsableTargets": "1", "ColdTargets": "0", "SuspectTargets": "0", "FullTargets": "0"}},
		}},
		{"failed, may have run", "/post/1", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, []want{
			{"UpstreamFailed", map[string]string{"Reason": "Broken", "Verdict": "MaybeRan", "Target": "i-1", "TargetZone": "z"}},
			{"RequestGivenUp", map[string]string{"Reason": "Broken", "Verdict": "MaybeRan", "Status": "502"}},
		}},
		{"answered", "/get/1", func(http.ResponseWriter, *http.Request) {}, []want{
			{"RequestAnswered", map[string]string{"Status": "200", "Target": "i-1", "TargetZone": "z", "ConfigVersion": "1", "Tries": "1"}},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlatform()
			p.set(entry.TableRules, "config", config(1))
			h := tc.h
			if h == nil {
				h = func(http.ResponseWriter, *http.Request) {}
			}
			register(p, "i-1", startUpstream(t, h).addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)
			v.request(t, http.MethodPost, tc.path, "complained", "body")
			var lines []logline.Line
			eventually(t, "the lines are written", func() bool {
				lines = v.trace(t, "complained")
				return len(lines) >= len(tc.want)
			})
			for i, w := range tc.want {
				if lines[i].Event != w.event {
					t.Errorf("line %d is %s, want %s", i, lines[i].Event, w.event)
				}
				for name, value := range w.fields {
					if got := lines[i].Get(name); got != value {
						t.Errorf("%s: %s = %q, want %q", w.event, name, got, value)
					}
				}
				if lines[i].Get("RulesAgeMs") == "" || lines[i].Get("TargetsAgeMs") == "" {
					t.Errorf("%s does not have the ages of the copies: %s", w.event, lines[i].Text)
				}
			}
			for _, l := range lines {
				t.Log(l.Text)
			}
		})
	}
}

// The platform becomes unavailable and no VM has newer copies: the log must say when, and
// that the copies are too old to keep the bound on leaving upstreams.
func TestLogsReportUnavailablePlatform(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", "127.0.0.1:1")
	v := startVM(t, "a", p, func(cfg *settings.Entry) { cfg.LeaveWithin = cfg.LeaveWithin / 4 })
	ready(t, v)
	p.setUnavailable(true)
	for _, event := range []string{"PlatformLost", "CopyStale"} {
		eventually(t, event, func() bool { return len(v.trace(t, event)) > 0 })
	}
	p.setUnavailable(false)
	eventually(t, "PlatformRegained", func() bool { return len(v.trace(t, "PlatformRegained")) > 0 })
}
