package team

import (
	"math"

	"github.com/cockroachdb/errors"
)

// Directory finds teams. It is immutable. The nil Directory has no teams.
type Directory struct {
	byKey map[string]*Team
	list  []*Team
}

// NewDirectory checks teams and prepares them for look-ups. Errors name the team and
// never a key.
func NewDirectory(teams []*Team) (*Directory, error) {
	d := &Directory{byKey: make(map[string]*Team, len(teams)), list: teams}
	names := make(map[string]bool, len(teams))
	for _, t := range teams {
		switch {
		case t.Name == "":
			return nil, errors.New("a team without a name")
		case names[t.Name]:
			return nil, errors.Newf("team %q stands twice", t.Name)
		case !finite(t.RatePerSecond) || !finite(t.Burst):
			return nil, errors.Newf("team %q: a limit below 0, or none", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.Keys {
			other := d.byKey[key]
			if other != nil && other != t {
				return nil, errors.Newf("teams %q and %q hold the same key", other.Name, t.Name)
			}
			d.byKey[key] = t
		}
	}
	return d, nil
}

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// ByKey returns the team that holds a key, nil where none does.
func (d *Directory) ByKey(key string) *Team {
	if d == nil || key == "" {
		return nil
	}
	return d.byKey[key]
}

// Teams returns all teams.
func (d *Directory) Teams() []*Team {
	if d == nil {
		return nil
	}
	return d.list
}
