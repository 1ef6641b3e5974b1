package settings

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"auburnlatch/core/member"
	"auburnlatch/core/ratelimit"
	"auburnlatch/schema"
)

// Entry holds the settings of one entry VM.
type Entry struct {
	Name, Zone, Region string
	FrontAddr          string
	ReadyAddr          string
	DirectoryAddr      string
	PeerAddr           string
	MetricsAddr        string
	Seeds              []string
	// Regions maps each availability zone to its region.
	Regions      map[string]string
	PlatformAddr string

	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// RetryRatio, RetryWindow and RetryExtra bound the retries of all VMs together:
	// the ratio of retries to requests within the window, and a number of retries
	// that each service may use in addition.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  int
	// UpstreamHeartbeat is the interval at which upstreams renew their
	// registration.
	UpstreamHeartbeat time.Duration
	// LeaveWithin is the time after which an upstream that leaves must receive no
	// new requests.
	LeaveWithin time.Duration
	// LookupTTL is the time for which callers may cache a look-up.
	LookupTTL time.Duration
	// RevokeWithin is the time after which a revoked key is rejected, even if the platform
	// cannot be reached. If 0, VMs that cannot reach the platform use the keys as they
	// last knew them.
	RevokeWithin time.Duration
	// ResponseHeaderBytes bounds what is read of an upstream's or another VM's response up to
	// the end of its header, with the interim and late responses before it.
	ResponseHeaderBytes int
	// Limits bounds how far teams may exceed their limits.
	Limits ratelimit.Bounds
	// Capacity is the VM's link and CPU capacity.
	Capacity member.Capacity
	// FirstStart means that all VMs start for the first time, before there are callers.
	FirstStart bool
	// Load has the switches of the decisions under load.
	Load LoadSwitches
}

// LoadSwitches has the switches of the decisions under load.
type LoadSwitches struct {
	// Admission is admission by rank and team. Auto: on if routes have three ranks or more.
	Admission Switch
	// SecondSends are second sends of overdue requests. Auto: on for services whose upstreams
	// report their pace.
	SecondSends Switch
	// Pace is the use of the pace that upstreams report. Auto: on if they report it.
	Pace Switch
}

// Defaults and limits of an entry VM's settings.
const (
	defaultEntryStopGrace    = 10 * time.Second
	defaultRetryWindow       = 10 * time.Second
	defaultLeaveWithin       = 2 * time.Second
	defaultUpstreamHeartbeat = 1500 * time.Millisecond
	defaultLimitWindow       = 5 * time.Second
	// defaultResponseHeader and minResponseHeader are in bytes. Usual servers send up to 8 KiB.
	defaultResponseHeader = 64 << 10
	minResponseHeader     = 16 << 10
	// minRevokeWithin covers the exchange between VMs, which is twice a second, and a VM
	// that has just started, which takes one second more.
	minRevokeWithin = 2500 * time.Millisecond
)

// ParseEntry parses and checks settings of an entry VM. Errors refer to the file as name.
func ParseEntry(name string, data []byte) (*Entry, error) {
	plainJSON, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	m := &schema.EntrySettings{}
	if err := protojson.Unmarshal(plainJSON, m); err != nil {
		return nil, errors.Newf("%s: %s", name, trimProto(err))
	}
	c := &checker{name: name, data: data}
	s := c.entry(m)
	if len(c.problems) > 0 {
		return nil, errors.New(strings.Join(c.problems, "\n"))
	}
	return s, nil
}

func (c *checker) entry(m *schema.EntrySettings) *Entry {
	b := m.GetBounds()
	s := &Entry{
		Name: m.GetName(), Zone: m.GetZone(), Region: m.GetRegion(),
		FrontAddr: m.GetFrontAddr(), ReadyAddr: m.GetReadyAddr(), DirectoryAddr: m.GetDirectoryAddr(),
		PeerAddr: m.GetPeerAddr(), MetricsAddr: m.GetMetricsAddr(), Seeds: m.GetSeeds(), Regions: m.GetRegions(),
		PlatformAddr:      m.GetPlatform().GetAddr(),
		StopGrace:         c.duration("Bounds/StopGrace", b.GetStopGrace(), defaultEntryStopGrace),
		RetryRatio:        b.GetRetryRatio(),
		RetryWindow:       c.duration("Bounds/RetryWindow", b.GetRetryWindow(), defaultRetryWindow),
		RetryExtra:        int(b.GetRetryExtra()), // Rounded down.
		UpstreamHeartbeat: c.duration("Bounds/Heartbeat", b.GetHeartbeat(), defaultUpstreamHeartbeat),
		LeaveWithin:       c.duration("Bounds/LeaveWithin", b.GetLeaveWithin(), defaultLeaveWithin),
		LookupTTL:         c.duration("Bounds/LookupTtl", b.GetLookupTtl(), defaultLookupTTL),
		FirstStart:        m.GetFirstStart(),

		ResponseHeaderBytes: cmp.Or(int(b.GetResponseHeaderBytes()), defaultResponseHeader),
		RevokeWithin:        c.duration("Bounds/RevokeWithin", b.GetRevokeWithin(), 0),
		Limits: ratelimit.Bounds{
			Window: c.duration("Bounds/LimitWindow", b.GetLimitWindow(), defaultLimitWindow), Excess: b.GetLimitExcess(), Slack: b.GetLimitSlack(),
		},
		Capacity: member.Capacity{
			LinkMbps: m.GetCapacity().GetLinkMbps(), Cores: m.GetCapacity().GetCpuShare() * m.GetCapacity().GetCores(),
		},
	}
	s.Load = LoadSwitches{
		Admission: c.toggle("Load/Admission", m.GetLoad().GetAdmission()), SecondSends: c.toggle("Load/SecondSends", m.GetLoad().GetSecondSends()), Pace: c.toggle("Load/Pace", m.GetLoad().GetPace()),
	}
	c.require(s.Name != "", "Name", "is missing; use a name that no other VM has")
	c.require(s.Regions[s.Zone] != "", "Zone", fmt.Sprintf("%q is not in Regions; use an availability zone listed there", s.Zone))
	c.require(s.Region == s.Regions[s.Zone], "Region", fmt.Sprintf("%q is not the region of zone %q, which is %q", s.Region, s.Zone, s.Regions[s.Zone]))
	c.addr("FrontAddr", s.FrontAddr)
	c.addr("ReadyAddr", s.ReadyAddr)
	c.addr("DirectoryAddr", s.DirectoryAddr)
	c.addr("PeerAddr", s.PeerAddr)
	c.addr("Platform/Addr", s.PlatformAddr)
	if s.MetricsAddr != "" {
		c.addr("MetricsAddr", s.MetricsAddr)
	}
	for _, seed := range s.Seeds {
		c.addr("Seeds", seed)
	}
	c.require(s.RetryRatio >= 0 && s.RetryRatio <= 1, "Bounds/RetryRatio", "must be from 0 to 1")
	c.require(s.Capacity.LinkMbps >= 0, "Capacity/LinkMbps", "must not be below 0; 0 means unknown")
	c.require(m.GetCapacity().GetCpuShare() >= 0, "Capacity/CpuShare", "must not be below 0; 0 means unknown")
	c.require(m.GetCapacity().GetCores() >= 0, "Capacity/Cores", "must not be below 0; 0 means unknown")
	c.require(s.RevokeWithin == 0 || s.RevokeWithin >= minRevokeWithin, "Bounds/RevokeWithin", "must be at least 2.5s, or 0: VMs exchange state twice a second, and a VM that has just started takes 1s more")
	c.require(s.Limits.Excess >= 0 && s.Limits.Excess <= 1, "Bounds/LimitExcess", "must be from 0 to 1")
	c.require(s.Limits.Slack >= 0, "Bounds/LimitSlack", "must not be below 0")
	c.require(s.ResponseHeaderBytes >= minResponseHeader, "Bounds/ResponseHeaderBytes", fmt.Sprintf("must be at least %d: upstreams may send as much", minResponseHeader))
	c.require(s.RetryExtra >= 0, "Bounds/RetryExtra", "must not be below 0")
	return s
}

// duration parses a duration above 0, or returns def if text is empty.
func (c *checker) duration(field, text string, def time.Duration) time.Duration {
	if text == "" {
		return def
	}
	d, err := time.ParseDuration(text)
	c.require(err == nil && d > 0, field, fmt.Sprintf("%q is not a duration above 0, such as 2.5s", text))
	return d
}
