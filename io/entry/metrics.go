package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/admission"
	"auburnlatch/core/balance"
	"auburnlatch/core/lease"
	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
	"auburnlatch/io/clock"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
	"auburnlatch/io/tcp"
)

// counters are a VM's counters. The zero value is ready to use.
type counters struct {
	requests       atomic.Int64
	refusedCount   atomic.Int64
	failedCount    atomic.Int64
	platformCalls  atomic.Int64
	platformErrors atomic.Int64
	discarded      atomic.Int64
	// loadsUnreadable counts responses with a load that could not be read.
	loadsUnreadable atomic.Int64
	// checkedCold counts the checks that found an upstream cold.
	checkedCold atomic.Int64

	mu      sync.Mutex
	closes  map[tcp.Cause]int64
	reasons map[verdict.Reason]int64
	latency *hdrhistogram.Histogram
}

// The histogram's range is 0.1 ms to a minute, with two significant digits.
const (
	latencyUnit = 100 * time.Microsecond
	maxLatency  = int64(time.Minute / latencyUnit)
	digits      = 2
)

// served counts a request that an upstream answered.
func (c *counters) served(took time.Duration) {
	c.requests.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latency == nil {
		c.latency = hdrhistogram.New(1, maxLatency, digits)
	}
	// The error would mean that the value is out of range, which min excludes.
	_ = c.latency.RecordValue(min(maxLatency, int64(took/latencyUnit)))
}

// failed counts a request without a response of an upstream.
func (c *counters) failed(e *verdict.Error) {
	c.requests.Add(1)
	if e.Verdict == verdict.NotRun {
		c.refusedCount.Add(1)
	} else {
		c.failedCount.Add(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reasons == nil {
		c.reasons = make(map[verdict.Reason]int64)
	}
	c.reasons[e.Reason]++
}

// closed counts a caller's connection that was closed.
func (c *counters) closed(cause tcp.Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closes == nil {
		c.closes = make(map[tcp.Cause]int64)
	}
	c.closes[cause]++
}

// callersClosed returns the connections that were closed, by the name of the cause.
func (c *counters) callersClosed() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := make(map[string]int64, len(c.closes))
	for cause, n := range c.closes {
		m[cause.String()] = n
	}
	return m
}

// Figures are a VM's metrics at one moment.
type Figures struct {
	Requests, Refused, Failed  int64
	GivenUpByReason            map[verdict.Reason]int64
	LatencyP50Ms, LatencyP99Ms float64
	InFlight                   int64
	ConnectionsOpened          int64
	// ConnectionsFailed could not be opened. ConnectionsReused counts requests on open ones.
	ConnectionsFailed, ConnectionsReused int64
	// ProcessChecks counts the health checks that showed whether an upstream was warm before a
	// request was sent to it, and FoundCold those after which it was not.
	ProcessChecks, FoundCold int64
	// HeadersTooLong counts the connections to upstreams that were closed as the header of a
	// response was too long, by its form: Line, Fields, Interim or Stray.
	HeadersTooLong map[string]int64
	// CallersClosed counts the callers' connections that the VM closed while their callers might
	// still have sent or received, by what ended that: Complete, PeerReset, TooMuch, TimeUp,
	// Displaced or Stopped.
	CallersClosed map[string]int64
	// CutOff means that the VM reaches no upstream, and ReachChecks counts how often it checked.
	CutOff      bool
	ReachChecks int64
	// Relayed counts the requests that other VMs answered for this one, RelayRefused those that
	// none could, and RelayedTraffic is the requests per second that others relay to this one.
	Relayed, RelayRefused int64
	RelayedTraffic        float64
	// LoadsUnreadable counts the responses in which an upstream reported a load that could not be
	// read.
	LoadsUnreadable int64
	// LoadAgeMs is the mean age of the loads that requests were assigned by, and OwnersLate counts
	// the requests whose owner had a queue and was expected to respond too late.
	LoadAgeMs, OwnersLate int64
	// SecondSends counts the overdue requests that were sent to a second upstream, SecondSendsWon
	// those that it answered first, and SecondSendsDenied those that were not sent, as the retry
	// budget was used or no upstream was free.
	SecondSends, SecondSendsWon, SecondSendsDenied int64
	// Retries is the retry budget of each service.
	Retries []balance.RetryUsage
	// Appointments counts the refused callers that were told when to come back, and
	// AppointmentsKept those of them to whom room was promised. Returned counts the requests that
	// came back, to any VM, and ReturnedServed those of them that were answered.
	Appointments, AppointmentsKept, Returned, ReturnedServed int64
	// UpstreamsHeardMs is how long ago any upstream answered a request; -1: never.
	UpstreamsHeardMs              int64
	PlatformCalls, PlatformErrors int64
	// AnswersDiscarded counts the tables read from the platform that were older than the
	// copies by their versions.
	AnswersDiscarded int64
	// PlatformEra, RulesVersion and TargetsVersion are as in replica.Head.
	PlatformEra, RulesVersion, TargetsVersion uint64
	ConfigVersion                             uint64
	RulesAgeMs, TargetsAgeMs                  int64
	// CopyGaps counts the changes of other VMs that were refused as the copy would have lacked some,
	// and CopiesDiffering those of a VM that had other rows at the same version.
	CopyGaps, CopiesDiffering int64
	// RulesSureMs is how long ago the rules in force were verified to be the newest.
	RulesSureMs int64
	// LimitsHeardMs is how long ago totals of the teams' demand were received.
	LimitsHeardMs int64
	// Admission has what each rank asked for and was given, by service; nil unless requests are
	// admitted by rank.
	Admission  []admission.Share
	LiveVMs    int
	Placements int // Objects with a known placement.
	Poison     poison.Counts
	// ControlSent is the bytes sent to other VMs, by subject.
	ControlSent     peer.Sent
	ControlBytesIn  int64
	ControlBytesOut int64
}

// Figures returns the VM's metrics.
func (v *VM) Figures(now time.Time) Figures {
	c := &v.counts
	f := Figures{
		Requests: c.requests.Load(), Refused: c.refusedCount.Load(), Failed: c.failedCount.Load(),
		InFlight:      v.inFlight.Load(),
		PlatformCalls: c.platformCalls.Load(), PlatformErrors: c.platformErrors.Load(), AnswersDiscarded: c.discarded.Load(),
		PlatformEra:  v.platform.Era(),
		RulesVersion: v.replicas[TableRules].Head(now).Version, TargetsVersion: v.replicas[TableTargets].Head(now).Version,
		RulesAgeMs:   v.replicas[TableRules].Head(now).Age.Milliseconds(),
		TargetsAgeMs: v.replicas[TableTargets].Head(now).Age.Milliseconds(),
		LiveVMs:      len(v.members.Live(now)), Placements: v.balancer.PlacementCount(), Poison: v.guard.Ledger().Counts(), GivenUpByReason: make(map[verdict.Reason]int64),
	}
	f.CutOff, f.ReachChecks = v.cutOff(), v.links.Checks()
	f.Relayed, f.RelayRefused, f.RelayedTraffic = v.relaying.sent.Load(), v.relaying.refused.Load(), v.relaying.traffic.Average().Requests
	f.SecondSends, f.SecondSendsWon, f.SecondSendsDenied = v.seconds.sent.Load(), v.seconds.won.Load(), v.seconds.denied.Load()
	f.Retries = v.retries.Usage(now)
	a := &v.appointments
	f.Appointments, f.AppointmentsKept, f.Returned, f.ReturnedServed = a.told.Load(), a.promised.Load(), a.returned.Load(), a.served.Load()
	conns := v.upstreams.Connections()
	for _, t := range v.replicas {
		m := t.Mismatches()
		f.CopyGaps, f.CopiesDiffering = f.CopyGaps+m.Gaps, f.CopiesDiffering+m.Differing
	}
	f.HeadersTooLong = v.upstreams.HeadersTooLong()
	f.CallersClosed = c.callersClosed()
	f.ConnectionsOpened, f.ConnectionsFailed, f.ConnectionsReused = conns.Opened, conns.Failed, conns.Reused
	f.ProcessChecks, f.FoundCold = conns.Checked, c.checkedCold.Load()
	loads := v.balancer.LoadStats()
	f.LoadsUnreadable, f.LoadAgeMs, f.OwnersLate = c.loadsUnreadable.Load(), loads.Age.Milliseconds(), loads.OwnersLate
	f.UpstreamsHeardMs = heardMillis(now, conns.Answered)
	f.RulesSureMs = v.rulesAge(clock.SinceBoot()).Milliseconds()
	f.LimitsHeardMs = min(v.limits.Age(now), lease.Never).Milliseconds()
	f.Admission = v.admission.Shares(now)
	f.ControlSent = v.sent.Sent()
	f.ControlBytesIn, f.ControlBytesOut = v.peerClient.Traffic()
	if t := v.table.Load(); t != nil {
		f.ConfigVersion = t.Config.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for reason, n := range c.reasons {
		f.GivenUpByReason[reason] = n
	}
	if c.latency != nil {
		const perMs = float64(time.Millisecond / latencyUnit)
		f.LatencyP50Ms = float64(c.latency.ValueAtQuantile(50)) / perMs
		f.LatencyP99Ms = float64(c.latency.ValueAtQuantile(99)) / perMs
	}
	return f
}

// heardMillis returns the milliseconds since at, or -1 if at is zero.
func heardMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// sentInterval is the interval between log lines about the bytes sent to other VMs.
const sentInterval = 10 * time.Second

// sentLoop logs the bytes sent to other VMs since the start.
func (v *VM) sentLoop(ctx context.Context) {
	for lifecycle.Sleep(ctx, sentInterval) {
		s := v.sent.Sent()
		v.log.WithFields(logrus.Fields{
			"Members": s.Members, "Tables": s.Tables, "Placements": s.Placements, "Poison": s.Poison, "Demand": s.Demand, "Upstreams": s.Upstreams,
		}).Info("ControlSent")
	}
}

// dumpedBan is a ban in the dump.
type dumpedBan struct {
	Print  string
	At     time.Time
	Lifted bool
}

func dumpBans(bans []poison.Ban) []dumpedBan {
	list := make([]dumpedBan, 0, len(bans))
	for _, b := range bans {
		list = append(list, dumpedBan{b.Print.String(), time.UnixMilli(b.At).UTC(), b.Lifted})
	}
	return list
}

// expvarOnce guards the registration with expvar, which is global to the process.
var expvarOnce sync.Once

// MetricsHandler serves the metrics at /debug/vars and a dump of the VM's state at /dump,
// both as text.
func (v *VM) MetricsHandler() http.Handler {
	expvarOnce.Do(func() {
		expvar.Publish("Entry", expvar.Func(func() any { return v.Figures(time.Now()) }))
	})
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		// A failed write means that the client has disconnected.
		_ = enc.Encode(struct {
			Figures Figures
			VMs     any
			Targets any
			Bans    any
		}{v.Figures(now), v.members.Peers(now), v.balancer.Dump(now), dumpBans(v.guard.Ledger().Bans())})
	})
	return mux
}
