package entry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"auburnlatch/core/replica"
	"auburnlatch/core/target"
	"auburnlatch/io/entry"
	"auburnlatch/platform"
)

// storedPlatform is a fakePlatform with rows as the users' platform has them.
type storedPlatform struct {
	*fakePlatform
	store *platform.Store
}

func newStoredPlatform() *storedPlatform {
	return &storedPlatform{newPlatform(), platform.NewStore("127.0.0.1:1")}
}

func (p *storedPlatform) Same(table, key string, a, b []byte) bool {
	return p.store.Same(table, key, a, b)
}

func (p *storedPlatform) Meaning(table, key string, value []byte) []byte {
	return p.store.Meaning(table, key, value)
}

func (p *storedPlatform) Rules(rows []replica.Row) (entry.Rules, error) { return p.store.Rules(rows) }

func (p *storedPlatform) Registration(row replica.Row) (target.Registration, error) {
	return p.store.Registration(row)
}

// write writes a row of any bytes.
func (p *storedPlatform) write(table, key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[table][key] = replica.Row{Key: key, Version: p.version, Value: []byte(value)}
}

func (p *storedPlatform) register(id, addr string) {
	p.write(entry.TableTargets, id, fmt.Sprintf(`{"Addr":%q,"Info":{"Service":"s","Version":"v1","Zone":"z","Slots":4},"Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"}}`, addr))
}

// storedConfig is a configuration with a route of each prefix.
func storedConfig(version uint64, prefixes ...string) string {
	routes := make([]string, len(prefixes))
	for i, prefix := range prefixes {
		routes[i] = fmt.Sprintf(`"r%d":{"Hostname":"h","Prefix":%q,"Kind":"idempotent","Timeout":"1s","Slo":"1s","Service":"s","Attempts":2}`, i, prefix)
	}
	return fmt.Sprintf(`{"Version":"%08x","Routes":{%s},"Services":{"s":{"HealthPath":"/healthz","ColdPerS":10}}}`, version, strings.Join(routes, ","))
}

// events counts the lines with a message.
func events(t *testing.T, v *runningVM, message string) (n int) {
	t.Helper()
	for _, l := range v.readLog(t) {
		if l.Get("msg") == message {
			n++
		}
	}
	return n
}

// Guards against VMs that stop following upstreams and evacuations while the configuration cannot
// be decoded, or is refused.
func TestOddConfigurationStopsNothingElse(t *testing.T) {
	for name, odd := range map[string]struct{ value, event string }{
		"not JSON":             {"\xff\x00", "RulesNotDecoded"},
		"deeply nested":        {strings.Repeat("[", 1<<20), "RulesNotDecoded"},
		"a number too large":   {strings.Replace(storedConfig(2, "/get/"), `"Attempts":2`, `"Attempts":1e400`, 1), "RulesNotDecoded"},
		"of a unknown service": {strings.Replace(storedConfig(2, "/get/"), `"Service":"s"`, `"Service":"u"`, 1), "ConfigRefused"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newStoredPlatform()
			p.write(entry.TableRules, "config", storedConfig(1, "/get/"))
			first, second := startUpstream(t, func(http.ResponseWriter, *http.Request) {}), startUpstream(t, func(http.ResponseWriter, *http.Request) {})
			p.register("i-1", first.addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)

			p.write(entry.TableRules, "config", odd.value)
			eventually(t, "the configuration is read", func() bool { return events(t, v, odd.event) > 0 })
			p.register("i-2", second.addr())
			p.remove(entry.TableTargets, "i-1")
			n := 0
			get := func(path string) int {
				n++
				return v.request(t, http.MethodGet, path, fmt.Sprint("r", n), "").status
			}
			eventually(t, "a new upstream is used in place of a removed one", func() bool {
				get("/get/1")
				return second.runs(fmt.Sprint("r", n)) > 0
			})
			p.write(entry.TableRules, "evacuate/z", "{}")
			eventually(t, "a zone is evacuated", func() bool { return get("/get/1") == http.StatusServiceUnavailable })
			p.remove(entry.TableRules, "evacuate/z")
			eventually(t, "the zone is used again", func() bool { return get("/get/1") == http.StatusOK })
			p.write(entry.TableRules, "config", storedConfig(3, "/get/", "/new/"))
			eventually(t, "a later configuration is in force", func() bool { return get("/new/1") == http.StatusOK })
			// Each change of the rules decodes them once.
			if lines := events(t, v, odd.event); lines > 3 {
				t.Errorf("%d lines %s about one configuration", lines, odd.event)
			}
		})
	}
}

// Guards against rows of another writer that fill the log: many at once, again and again, or long
// ones.
func TestOddRegistrationsAreLoggedWithinBounds(t *testing.T) {
	p := newStoredPlatform()
	p.write(entry.TableRules, "config", storedConfig(1, "/get/"))
	u := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
	p.register("i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	const odd = 200
	for i := range odd {
		p.write(entry.TableTargets, fmt.Sprint("odd-", i), fmt.Sprintf(`{"Addr":%q}`, strings.Repeat("9", 10_000)))
	}
	p.write(entry.TableTargets, strings.Repeat("k", 5000), fmt.Sprintf(`{"Addr":"10.0.0.9:80","Info":{"Service":"s","Version":"v1","Zone":"z","Slots":%s},"Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"}}`, strings.Repeat("9", 10_000)))
	later := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
	p.register("i-2", later.addr())
	n := 0
	eventually(t, "a later registration is followed", func() bool {
		n++
		v.request(t, http.MethodGet, "/get/1", fmt.Sprint("r", n), "")
		return later.runs(fmt.Sprint("r", n)) > 0
	})
	lines := events(t, v, "RegistrationNotDecoded")
	if lines == 0 || lines > odd/2 {
		t.Errorf("%d lines about %d rows", lines, odd)
	}
	v.lines.mu.Lock()
	defer v.lines.mu.Unlock()
	for line := range bytes.Lines(v.lines.buf.Bytes()) {
		if len(line) > 1000 {
			t.Errorf("a line of %d bytes: %.100s", len(line), line)
		}
	}
}
