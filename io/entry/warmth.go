package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/core/lease"
	"auburnlatch/io/clock"
	"auburnlatch/io/upstream"
)

const (
	// registerMargin is added to the heartbeat interval of upstreams for the time until the
	// platform has the registration of one that has started. Upstreams whose registrations lapsed
	// while the platform was away are registered again within two seconds of its return.
	registerMargin = time.Second
	// maxColdTime bounds how long a health check says that an upstream is cold, if the rules do not.
	maxColdTime = time.Minute
)

// The errors of a check of an upstream's process.
var (
	errCold         = errors.New("the upstream is cold")
	errOtherProcess = errors.New("another upstream has the address")
	errCheckRefused = errors.New("the upstream refused a health check")
	errColdTime     = errors.New("the upstream's cold time cannot be read")
)

// process implements upstream.Process for a request that is sent to an upstream as to a warm one.
type process struct {
	vm          *VM
	lease       balance.Lease
	incarnation string
	// path is that of health checks, and coldFor how long an upstream is cold after its start.
	path    string
	coldFor time.Duration
}

// processOf returns the process that a lease's request is meant for, or nil if it need not be known:
// the request is one of the few that a cold upstream gets, or the upstreams of the service never are
// cold or cannot be asked.
func (v *VM) processOf(lease balance.Lease) upstream.Process {
	table := v.table.Load()
	if lease.Cold || table == nil || v.protocol.Instance == "" {
		return nil
	}
	s := table.Service(lease.Target.Service)
	if s == nil || s.HealthPath == "" || s.ColdFor <= 0 && s.ColdPerSecond <= 0 {
		return nil
	}
	return &process{vm: v, lease: lease, incarnation: lease.Target.Incarnation(), path: s.HealthPath, coldFor: s.ColdFor}
}

// CheckDue implements upstream.Process.
func (p *process) CheckDue(now time.Time, opened lease.Moment) (bool, error) {
	if p.vm.balancer.IsCold(now, p.lease) {
		return false, errCold
	}
	return p.vm.warmth.CheckDue(clock.SinceBoot(), opened, p.incarnation), nil
}

// Check implements upstream.Process.
func (p *process) Check() upstream.Check { return upstream.Check{Path: p.path} }

// Checked implements upstream.Process.
func (p *process) Checked(now time.Time, asked lease.Moment, resp *http.Response) error {
	switch {
	case resp.Header.Get(p.vm.protocol.Instance) != p.lease.Target.ID:
		return errOtherProcess
	case resp.StatusCode != http.StatusOK && resp.Header.Get(p.vm.protocol.ColdMillis) == "":
		return errCheckRefused
	}
	cold, err := parseCold(resp.Header.Values(p.vm.protocol.ColdMillis))
	if err != nil {
		return err
	}
	if cold == 0 {
		p.vm.warmth.Warm(asked, p.incarnation)
		return nil
	}
	limit := p.coldFor
	if limit <= 0 {
		limit = maxColdTime
	}
	cold = min(cold, limit)
	p.vm.balancer.MarkCold(p.lease, now.Add(cold))
	p.vm.counts.checkedCold.Add(1)
	if p.vm.requests.failures.take() {
		p.vm.log.WithFields(logrus.Fields{
			"Target": p.lease.Target.ID, "Addr": p.lease.Target.Addr, "TargetZone": p.lease.Target.Zone, "Service": p.lease.Target.Service, "ColdMs": cold.Milliseconds(),
		}).Info("UpstreamCold")
	}
	return errCold
}

// Lost implements upstream.Process.
func (p *process) Lost(now lease.Moment) { p.vm.warmth.Lost(now, p.incarnation) }

// parseCold parses the time for which an upstream is cold, in whole milliseconds. Without a value it is
// not cold. Of several the longest counts.
func parseCold(values []string) (time.Duration, error) {
	var longest time.Duration
	for _, text := range values {
		n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
		if err != nil {
			return 0, errColdTime
		}
		longest = max(longest, time.Duration(n)*time.Millisecond)
	}
	return longest, nil
}
