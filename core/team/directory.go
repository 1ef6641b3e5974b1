package team

import (
	"math"

	"github.com/cockroachdb/errors"
)

// Directory finds teams by their keys. It is immutable. The nil Directory has no teams.
type Directory struct {
	byKey map[string]*Team
	list  []*Team
}

// NewDirectory validates teams and prepares them for look-ups. Errors contain the name of
// the team but no key.
func NewDirectory(teams []*Team) (*Directory, error) {
	d := &Directory{byKey: make(map[string]*Team, len(teams)), list: teams}
	names := make(map[string]bool, len(teams))
	for _, t := range teams {
		switch {
		case t.Name == "":
			return nil, errors.New("team without a name")
		case names[t.Name]:
			return nil, errors.Newf("duplicate team %q", t.Name)
		case !validLimit(t.RatePerSecond) || !validLimit(t.Burst):
			return nil, errors.Newf("team %q: limit is negative or not finite", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.Keys {
			other := d.byKey[key]
			if other != nil && other != t {
				return nil, errors.Newf("teams %q and %q have the same key", other.Name, t.Name)
			}
			d.byKey[key] = t
		}
	}
	return d, nil
}

func validLimit(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// ByKey returns the team that has a key, or nil if there is none.
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
