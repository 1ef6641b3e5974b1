package wire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/balance"
	"auburnlatch/schema"
)

// Placements maps the placements of objects.
func Placements(list []*schema.Placement) []balance.Placement {
	out := make([]balance.Placement, 0, len(list))
	for _, m := range list {
		out = append(out, balance.Placement{
			Service: m.GetService(), Route: m.GetRoute(), Object: m.GetObject(),
			Target: m.GetTarget(), Born: m.GetBorn(), Version: m.GetVersion(), Made: m.GetMade(),
		})
	}
	return out
}

// FromPlacements maps the placements of objects.
func FromPlacements(list []balance.Placement) []*schema.Placement {
	out := make([]*schema.Placement, 0, len(list))
	for _, p := range list {
		out = append(out, &schema.Placement{
			Service: p.Service, Route: p.Route, Object: p.Object,
			Target: p.Target, Born: p.Born, Version: p.Version, Made: p.Made,
		})
	}
	return out
}

// maxPersistedPlacements is how many placements are persisted. At 10 bytes each they stay
// below 64 KB, the maximum size of a row of the platform's table.
const maxPersistedPlacements = 5000

// PackPlacements encodes placements for a row of the platform's table.
func PackPlacements(list []balance.Placement) ([]byte, error) {
	type name struct{ service, route string }
	pages := make(map[name]*schema.PlacementPage)
	targets := make(map[name]map[string]uint32)
	var book schema.PlacementBook
	for _, p := range list[:min(maxPersistedPlacements, len(list))] {
		key := name{p.Service, p.Route}
		page := pages[key]
		if page == nil {
			page = &schema.PlacementPage{Service: p.Service, Route: p.Route}
			pages[key], targets[key] = page, make(map[string]uint32)
			book.Pages = append(book.Pages, page)
		}
		at, ok := targets[key][p.Target]
		if !ok || page.Borns[at] != p.Born {
			at = uint32(len(page.Targets))
			targets[key][p.Target] = at
			page.Targets, page.Borns = append(page.Targets, p.Target), append(page.Borns, p.Born)
		}
		page.Objects, page.At, page.Versions = append(page.Objects, p.Object), append(page.At, at), append(page.Versions, p.Version)
	}
	return proto.Marshal(&book)
}

// UnpackPlacements decodes the result of PackPlacements. It returns an error if the
// data is corrupt.
func UnpackPlacements(data []byte) ([]balance.Placement, error) {
	var book schema.PlacementBook
	if err := proto.Unmarshal(data, &book); err != nil {
		return nil, errors.Wrap(err, "placements")
	}
	var list []balance.Placement
	for _, page := range book.GetPages() {
		if len(page.At) != len(page.Objects) || len(page.Versions) != len(page.Objects) || len(page.Borns) != len(page.Targets) {
			return nil, errors.New("placements: the columns differ in length")
		}
		for i, object := range page.Objects {
			at := page.At[i]
			if int(at) >= len(page.Targets) {
				return nil, errors.New("placements: target index out of range")
			}
			list = append(list, balance.Placement{
				Service: page.Service, Route: page.Route, Object: object,
				Target: page.Targets[at], Born: page.Borns[at], Version: page.Versions[i],
			})
		}
	}
	return list, nil
}
