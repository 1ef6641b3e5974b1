package route

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/team"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	Config *Config
	// Teams finds teams by their keys; nil: there are none, and no key is required.
	Teams    *team.Directory
	hosts    map[string]*host
	services map[string]*Service
	// topPriority is the highest priority of each service's routes.
	topPriority map[string]int
	// ranks are the priorities of all routes, sorted.
	ranks []int
}

// host has the routes of one host, by prefix.
type host struct {
	routes map[string]*Route
	// longestPrefix is the length of the longest prefix in bytes.
	longestPrefix int
}

// NewTable validates a configuration and prepares it for look-ups. The cost is
// linear in the size of the configuration.
func NewTable(cfg *Config) (*Table, error) {
	t := &Table{
		Config: cfg, hosts: make(map[string]*host), services: make(map[string]*Service, len(cfg.Services)),
		topPriority: make(map[string]int),
	}
	for _, s := range cfg.Services {
		t.services[s.Name] = s
	}
	for _, r := range cfg.Routes {
		if err := t.add(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
	}
	slices.Sort(t.ranks)
	t.ranks = slices.Compact(t.ranks)
	if cfg.Teams != nil {
		dir, err := team.NewDirectory(cfg.Teams)
		if err != nil {
			return nil, err
		}
		t.Teams = dir
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Parts) == 0 {
		return errors.New("route has no service")
	}
	if err := checkWeights(r.Parts); err != nil {
		return err
	}
	for _, p := range r.Parts {
		if t.services[p.Service] == nil {
			return errors.Newf("unknown service %q", p.Service)
		}
		if old, ok := t.topPriority[p.Service]; !ok || r.Priority < old {
			t.topPriority[p.Service] = r.Priority
		}
	}
	t.ranks = append(t.ranks, r.Priority)
	h := t.hosts[r.Host]
	if h == nil {
		h = &host{routes: make(map[string]*Route)}
		t.hosts[r.Host] = h
	}
	h.routes[r.Prefix] = r
	h.longestPrefix = max(h.longestPrefix, len(r.Prefix))
	return nil
}

// Find returns the route of the host that has the longest prefix of the path, or
// nil. It ignores a port in the host and a query in the path.
func (t *Table) Find(hostPort, path string) *Route {
	h := t.hosts[hostPort]
	if h == nil {
		name, _, found := strings.Cut(hostPort, ":")
		if h = t.hosts[name]; !found || h == nil {
			return nil
		}
	}
	if end := strings.IndexByte(path, '?'); end >= 0 {
		path = path[:end]
	}
	for end := min(len(path), h.longestPrefix); end > 0; {
		end = strings.LastIndexByte(path[:end], '/') + 1
		if r := h.routes[path[:end]]; r != nil {
			return r
		}
		end--
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services.
func (t *Table) Services() []*Service { return t.Config.Services }

// TopPriority returns the highest priority, which is the lowest number, among
// the routes to a service.
func (t *Table) TopPriority(service string) int { return t.topPriority[service] }

// Ranks returns the distinct priorities of all routes, the highest first.
func (t *Table) Ranks() []int { return t.ranks }

// HasHost reports whether the host has any route.
func (t *Table) HasHost(name string) bool { return t.hosts[name] != nil }
