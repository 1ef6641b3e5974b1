package wire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/balance"
	"auburnlatch/schema"
)

// Placements maps where objects belong.
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

// FromPlacements maps where objects belong.
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

// maxKept is how many placements are kept on the platform, at 10 bytes each: below
// the 64 KB that a row of its holds.
const maxKept = 5000

// PackPlacements packs where objects belong for the platform's table.
func PackPlacements(list []balance.Placement) ([]byte, error) {
	type name struct{ service, route string }
	pages := make(map[name]*schema.PlacementPage)
	targets := make(map[name]map[string]uint32)
	var book schema.PlacementBook
	for _, p := range list[:min(maxKept, len(list))] {
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

// UnpackPlacements is the reverse. An error says that the data is spoilt.
func UnpackPlacements(data []byte) ([]balance.Placement, error) {
	var book schema.PlacementBook
	if err := proto.Unmarshal(data, &book); err != nil {
		return nil, errors.Wrap(err, "placements")
	}
	var list []balance.Placement
	for _, page := range book.GetPages() {
		if len(page.At) != len(page.Objects) || len(page.Versions) != len(page.Objects) || len(page.Borns) != len(page.Targets) {
			return nil, errors.New("placements: columns of unequal length")
		}
		for i, object := range page.Objects {
			at := page.At[i]
			if int(at) >= len(page.Targets) {
				return nil, errors.New("placements: no such target")
			}
			list = append(list, balance.Placement{
				Service: page.Service, Route: page.Route, Object: object,
				Target: page.Targets[at], Born: page.Borns[at], Version: page.Versions[i],
			})
		}
	}
	return list, nil
}
