package team_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"auburnlatch/core/team"
)

func TestBearer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fields []string
		key    string
		err    error
	}{
		{"one key", []string{"Bearer abc"}, "abc", nil},
		{"scheme in another case", []string{"bEARER abc"}, "abc", nil},
		{"several spaces", []string{"Bearer   abc"}, "abc", nil},
		{"spaces around", []string{"  Bearer abc "}, "abc", nil},
		{"all characters of a token", []string{"Bearer aZ09-._~+/=="}, "aZ09-._~+/==", nil},
		{"no field", nil, "", team.ErrNoKey},
		{"empty field", []string{""}, "", team.ErrMalformedKey},
		{"scheme only", []string{"Bearer"}, "", team.ErrMalformedKey},
		{"scheme and a space", []string{"Bearer "}, "", team.ErrMalformedKey},
		{"another scheme", []string{"Basic abc"}, "", team.ErrMalformedKey},
		{"tab instead of the space", []string{"Bearer\tabc"}, "", team.ErrMalformedKey},
		{"two tokens", []string{"Bearer abc def"}, "", team.ErrMalformedKey},
		{"comma-separated list", []string{"Bearer abc, Bearer def"}, "", team.ErrMalformedKey},
		{"parameter", []string{`Bearer realm="x"`}, "", team.ErrMalformedKey},
		{"equal signs only", []string{"Bearer =="}, "", team.ErrMalformedKey},
		{"equal sign inside", []string{"Bearer a=b"}, "", team.ErrMalformedKey},
		{"not ASCII", []string{"Bearer ключ"}, "", team.ErrMalformedKey},
		{"two fields", []string{"Bearer abc", "Bearer def"}, "", team.ErrMalformedKey},
		{"the same field twice", []string{"Bearer abc", "Bearer abc"}, "", team.ErrMalformedKey},
		{"too long", []string{"Bearer " + strings.Repeat("a", 513)}, "", team.ErrMalformedKey},
	} {
		key, err := team.Bearer(tc.fields)
		if key != tc.key || !errors.Is(err, tc.err) {
			t.Errorf("%s: %q, %v; want %q, %v", tc.name, key, err, tc.key, tc.err)
		}
	}
}

func FuzzBearer(f *testing.F) {
	for _, s := range []string{"Bearer abc", "bearer  a==", "Basic x", "", " ", "Bearer\tx"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, field string) {
		key, err := team.Bearer([]string{field})
		if (key == "") != (err != nil) {
			t.Errorf("%q: key %q, error %v", field, key, err)
		}
		if err == nil && (!strings.HasSuffix(strings.TrimRight(field, " \t"), key) || strings.ContainsAny(key, " \t,\"\r\n")) {
			t.Errorf("%q: key %q", field, key)
		}
		if err != nil && key == "" && len(field) > 3 && strings.Contains(err.Error(), field) {
			t.Errorf("the error contains the key: %v", err)
		}
	})
}

func TestNewDirectoryRefuses(t *testing.T) {
	for _, tc := range []struct {
		name  string
		teams []*team.Team
		want  string
	}{
		{"no name", []*team.Team{{}}, "without a name"},
		{"duplicate", []*team.Team{{Name: "a"}, {Name: "a"}}, `duplicate team "a"`},
		{"negative rate", []*team.Team{{Name: "a", RatePerSecond: -1}}, `"a": limit is negative or not finite`},
		{"not a number", []*team.Team{{Name: "a", Burst: math.NaN()}}, `"a": limit is negative or not finite`},
		{"infinite rate", []*team.Team{{Name: "a", RatePerSecond: math.Inf(1)}}, `"a": limit is negative or not finite`},
		{"same key in two teams", []*team.Team{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}, `"a" and "b" have the same key`},
	} {
		_, err := team.NewDirectory(tc.teams)
		if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: %v, want %s", tc.name, err, tc.want)
		}
	}
}

func TestTeamOfARequestWithoutAKey(t *testing.T) {
	var none *team.Team
	if !none.IsHome("r") || none.Limited() || none.EffectivePriority(3) != 3 {
		t.Error("a request without a key has a region, limit or priority of a team")
	}
	var dir *team.Directory
	if dir.ByKey("k") != nil || dir.Teams() != nil {
		t.Error("the nil directory has a team")
	}
	priority := 0
	tm := &team.Team{Homes: []string{"a"}, Priority: &priority}
	if tm.IsHome("b") || !tm.IsHome("a") || tm.EffectivePriority(3) != 0 {
		t.Error("the homes or the priority of a team are ignored")
	}
}

func TestFingerprintDoesNotContainKey(t *testing.T) {
	if f := team.Fingerprint("key"); len(f) != 8 || f == team.Fingerprint("kez") || strings.Contains(f, "key") {
		t.Errorf("fingerprint %q", f)
	}
}

// BenchmarkByKey looks up a key among 10,000 teams with 100,000 keys.
func BenchmarkByKey(b *testing.B) {
	var teams []*team.Team
	for i := range 10_000 {
		tm := &team.Team{Name: fmt.Sprint("team", i)}
		for j := range 10 {
			tm.Keys = append(tm.Keys, fmt.Sprintf("key%07d%02d", i, j))
		}
		teams = append(teams, tm)
	}
	dir, err := team.NewDirectory(teams)
	if err != nil {
		b.Fatal(err)
	}
	fields := []string{"Bearer key000777703"}
	b.ReportAllocs()
	for b.Loop() {
		key, err := team.Bearer(fields)
		if err != nil || dir.ByKey(key) == nil {
			b.Fatal("not found")
		}
	}
}
