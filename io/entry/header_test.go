package entry

import (
	"net/http"
	"testing"

	"auburnlatch/core/route"
	"auburnlatch/core/team"
)

// A caller sets the team's field itself, in spellings that some upstream may accept. None
// may get through, and the key must not be forwarded.
func TestSetTeamOverridesCaller(t *testing.T) {
	table, err := route.NewTable(&route.Config{Teams: []*team.Team{{Name: "depot"}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, tm := range map[string]*team.Team{"depot": {Name: "depot"}, "": nil} {
		h := http.Header{
			"X-Team": {"forged", "again"}, "x-team": {"forged"}, "X_Team": {"forged"}, "x_TEAM": {"forged"},
			"Authorization": {"Bearer k"}, "X-Teams": {"another field"},
		}
		setTeam(h, "X-Team", table, tm)
		if got := h.Get("X-Team"); got != name || h.Get("Authorization") != "" {
			t.Errorf("team %q: got %q, key %q", name, got, h.Get("Authorization"))
		}
		for _, field := range []string{"x-team", "X_Team", "x_TEAM"} {
			if h[field] != nil {
				t.Errorf("team %q: %s passes %v", name, field, h[field])
			}
		}
		if h.Get("X-Teams") != "another field" {
			t.Errorf("team %q: another field is lost", name)
		}
	}
}
