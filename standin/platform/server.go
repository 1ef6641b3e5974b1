package platform

import (
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"auburnlatch/schema"
	"auburnlatch/standin/control"
)

// headerEra counts in the responses about rows how often the table was restored.
const headerEra = "Table-Era"

func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
}

// defaultLimit is the number of rows that a scan returns if the request sets no limit.
const defaultLimit = 1000

// Platform simulates the platform. It is an http.Handler.
type Platform struct {
	Table Table

	mu      sync.Mutex
	faults  Faults
	objects map[string][]byte
	vms     map[string]*schema.ListedVm
	mux     *http.ServeMux
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{objects: map[string][]byte{}, vms: map[string]*schema.ListedVm{}, mux: http.NewServeMux()}
	p.mux.HandleFunc("POST /table/commit", p.commit)
	p.mux.HandleFunc("GET /table/row", p.row)
	p.mux.HandleFunc("GET /table/scan", p.scan)
	p.mux.HandleFunc("PUT /objects/{name}", p.putObject)
	p.mux.HandleFunc("GET /objects/{name}", p.getObject)
	p.mux.HandleFunc("GET /vms", p.listVMs)
	p.mux.HandleFunc("PUT /standin/vms/{name}", p.putVM)
	p.mux.HandleFunc("DELETE /standin/vms/{name}", p.deleteVM)
	p.mux.HandleFunc("POST /standin/faults", p.postFaults)
	p.mux.HandleFunc("GET /standin/stats", p.getStats)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	f := p.Faults()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// Faults returns the faults that are being injected.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults to inject.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Stats returns the counters.
func (p *Platform) Stats() Stats {
	p.Table.mu.Lock()
	defer p.Table.mu.Unlock()
	return p.Table.stats
}

// SetVM adds a VM to the list or replaces its entry.
func (p *Platform) SetVM(name, zone, peer string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[name] = &schema.ListedVm{Name: name, Zone: zone, PeerAddr: peer, Leaving: leaving}
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
}

// nextCommitFault consumes and returns the fault of the next commit: whether to lose the
// reply and how long to delay the write.
func (p *Platform) nextCommitFault() (lose bool, late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.faults.LateWrites > 0:
		p.faults.LateWrites--
		return true, p.faults.Late
	case p.faults.LoseAnswers > 0:
		p.faults.LoseAnswers--
		return true, 0
	default:
		return false, 0
	}
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	req := &schema.CommitRequest{}
	if !control.Read(w, r, req) {
		return
	}
	lose, late := p.nextCommitFault()
	if late > 0 {
		time.AfterFunc(late, func() { p.Table.commit(req) })
		panic(http.ErrAbortHandler)
	}
	reply, era := p.Table.commit(req)
	if lose {
		panic(http.ErrAbortHandler)
	}
	setEra(w, era)
	control.Write(w, reply)
}

func (p *Platform) row(w http.ResponseWriter, r *http.Request) {
	reply, era := p.Table.get(r.URL.Query().Get("key"))
	setEra(w, era)
	control.Write(w, reply)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultLimit
	}
	reply, era := p.Table.scan(q.Get("prefix"), q.Get("after"), limit)
	setEra(w, era)
	control.Write(w, reply)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, control.MaxRequest))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[objectName(r)] = data
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[objectName(r)]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func objectName(r *http.Request) string {
	name, err := url.PathUnescape(r.PathValue("name"))
	if err != nil {
		return r.PathValue("name")
	}
	return name
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := &schema.VmList{}
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		list.Vms = append(list.Vms, p.vms[name])
	}
	control.Write(w, list)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	vm := &schema.ListedVm{}
	if control.Read(w, r, vm) {
		p.SetVM(r.PathValue("name"), vm.GetZone(), vm.GetPeerAddr(), vm.GetLeaving())
	}
}

func (p *Platform) deleteVM(_ http.ResponseWriter, r *http.Request) {
	p.RemoveVM(r.PathValue("name"))
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	f := &schema.PlatformFaults{}
	if !control.Read(w, r, f) {
		return
	}
	p.SetFaults(Faults{
		Outage: f.GetOutage(), Delay: millis(f.GetDelayMs()), LoseAnswers: int(f.GetLoseAnswers()),
		LateWrites: int(f.GetLateWrites()), Late: millis(f.GetLateMs()),
	})
}

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) {
	s := p.Stats()
	control.Write(w, &schema.PlatformStats{Commits: s.Commits, RowsWritten: s.RowsWritten, Reads: s.Reads, Conflicts: s.Conflicts})
}

func millis(n int32) time.Duration { return time.Duration(n) * time.Millisecond }
