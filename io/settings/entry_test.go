package settings_test

import (
	"strings"
	"testing"

	"auburnlatch/core/member"
	"auburnlatch/io/settings"
)

const validEntry = `{
	// One VM.
	"Name": "a", "Zone": "n-1", "Region": "n", "Regions": {"n-1": "n"},
	"FrontAddr": "10.0.0.1:1", "ReadyAddr": "10.0.0.1:2", "DirectoryAddr": "10.0.0.1:3", "PeerAddr": "10.0.0.1:4",
	"Platform": {"Addr": "10.0.0.9:1"},
	"Bounds": {"RetryRatio": 0.2},
}`

func TestParseEntry(t *testing.T) {
	cfg, err := settings.ParseEntry("f", []byte(validEntry))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "a" || cfg.StopGrace <= 0 || cfg.RetryRatio != 0.2 {
		t.Errorf("got %+v", cfg)
	}
}

func TestParseEntryRejects(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"Name": "a",`, ``, "Name: is missing"},
		{`"Zone": "n-1"`, `"Zone": "x"`, `f:3: Zone: "x" is not in Regions`},
		{`"Region": "n"`, `"Region": "s"`, `f:3: Region: "s" is not the region`},
		{`"10.0.0.1:3"`, `"here"`, `f:4: DirectoryAddr: "here" is not an IP:port`},
		{`"RetryRatio": 0.2`, `"RetryRatio": 2`, "f:6: Bounds.RetryRatio: must be from 0 to 1"},
		{`"RetryRatio": 0.2`, `"StopGrace": "soon"`, `f:6: Bounds.StopGrace: "soon" is not a duration`},
		{`"RetryRatio": 0.2`, `"Ratio": 2`, "Ratio"},
		{`"Bounds"`, `"Capacity": {"LinkMbps": -1}, "Bounds"`, "Capacity.LinkMbps: must not be below 0"},
		{`"Bounds"`, `"Load": {"Pace": "yes"}, "Bounds"`, `Load.Pace: "yes" is not On, Off or Auto`},
	} {
		_, err := settings.ParseEntry("f", []byte(strings.Replace(validEntry, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want %q", tc.new, err, tc.want)
		}
	}
}

// Guards against VMs that reject their settings and exit because RetryExtra is a fraction:
// a platform that computes its bounds from its size sets values such as 30.7.
func TestRetryExtraMayBeAFraction(t *testing.T) {
	for _, tc := range []struct {
		bound string
		want  int
	}{
		{"30.714285714285715", 30},
		{"30", 30},
		{"30.0", 30},
		{"0.9", 0},
	} {
		text := strings.Replace(validEntry, `"RetryRatio": 0.2`, `"RetryRatio": 0.2, "RetryExtra": `+tc.bound, 1)
		cfg, err := settings.ParseEntry("f", []byte(text))
		if err != nil {
			t.Errorf("%s: %v", tc.bound, err)
			continue
		}
		if cfg.RetryExtra != tc.want {
			t.Errorf("%s: RetryExtra is %d, want %d", tc.bound, cfg.RetryExtra, tc.want)
		}
	}
}

// Guards against a bound on headers by which legal responses would be cut.
func TestResponseHeaderBytes(t *testing.T) {
	for _, tc := range []struct {
		setting string
		want    int // 0: refused.
	}{
		{"", 64 << 10},
		{`, "ResponseHeaderBytes": 0`, 64 << 10},
		{`, "ResponseHeaderBytes": 16384`, 16384},
		{`, "ResponseHeaderBytes": 16383`, 0},
		{`, "ResponseHeaderBytes": -1`, 0},
	} {
		text := strings.Replace(validEntry, `"RetryRatio": 0.2`, `"RetryRatio": 0.2`+tc.setting, 1)
		cfg, err := settings.ParseEntry("f", []byte(text))
		switch {
		case tc.want == 0 && (err == nil || !strings.Contains(err.Error(), "Bounds.ResponseHeaderBytes")):
			t.Errorf("%s: %v", tc.setting, err)
		case tc.want > 0 && (err != nil || cfg.ResponseHeaderBytes != tc.want):
			t.Errorf("%s: %v, want %d", tc.setting, err, tc.want)
		}
	}
}

func TestParseEntryCapacity(t *testing.T) {
	text := strings.Replace(validEntry, `"Bounds"`, `"Capacity": {"LinkMbps": 20, "CpuShare": 0.5, "Cores": 2}, "Bounds"`, 1)
	cfg, err := settings.ParseEntry("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if want := (member.Capacity{LinkMbps: 20, Cores: 1}); cfg.Capacity != want {
		t.Errorf("got %+v, want %+v", cfg.Capacity, want)
	}
}

func TestParseEntryLoad(t *testing.T) {
	text := strings.Replace(validEntry, `"Bounds"`, `"Load": {"Admission": "On", "SecondSends": "Off", "Pace": "Auto"}, "Bounds"`, 1)
	cfg, err := settings.ParseEntry("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if want := (settings.LoadSwitches{Admission: settings.On, SecondSends: settings.Off}); cfg.Load != want {
		t.Errorf("got %+v, want %+v", cfg.Load, want)
	}
	for _, tc := range []struct {
		s          settings.Switch
		auto, want bool
	}{{settings.Auto, true, true}, {settings.Auto, false, false}, {settings.On, false, true}, {settings.Off, true, false}} {
		if got := tc.s.Enabled(tc.auto); got != tc.want {
			t.Errorf("Switch(%d).Enabled(%v) = %v", tc.s, tc.auto, got)
		}
	}
}
