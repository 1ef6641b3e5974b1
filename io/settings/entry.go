package settings

import (
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

// Entry is the settings of one entry process.
type Entry struct {
	Name, Zone, Region string
	FrontAddr          string
	ReadyAddr          string
	DirectoryAddr      string
	PeerAddr           string
	MetricsAddr        string
	Seeds              []string
	// Regions is the region of each availability zone.
	Regions      map[string]string
	PlatformAddr string

	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// RetryRatio, RetryWindow and RetryExtra bound how often requests are sent
	// again, by all VMs together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  int
	// UpstreamHeartbeat is the interval at which upstreams renew their
	// registration.
	UpstreamHeartbeat time.Duration
	// LeaveWithin is the time in which an upstream that leaves must get nothing
	// new any more.
	LeaveWithin time.Duration
	// LookupTTL is the longest time a look-up may be cached.
	LookupTTL time.Duration
	// RevokeWithin is the time after which a key that was taken away admits nothing, also
	// where the platform cannot be reached; 0: there keys are gone by as they are known.
	RevokeWithin time.Duration
	// Limits say how teams' requests are counted against their limits.
	Limits ratelimit.Bounds
	// Capacity is what the VM has.
	Capacity member.Capacity
	// FirstStart says that all VMs start for the first time, before there are callers.
	FirstStart bool
}

// The defaults of an entry process.
const (
	defaultEntryGrace  = 10 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultLeaveWithin = 2 * time.Second
	defaultUpstreamHB  = 1500 * time.Millisecond
	defaultLimitWindow = 5 * time.Second
	leastRevoke        = 2500 * time.Millisecond
)

// ParseEntry reads and checks settings; name stands for the file in errors.
func ParseEntry(name string, data []byte) (*Entry, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	m := &schema.EntrySettings{}
	if err := protojson.Unmarshal(standard, m); err != nil {
		return nil, errors.Newf("%s: %s", name, plain(err))
	}
	c := &checker{name: name, data: data}
	s := c.entry(m)
	if len(c.faults) > 0 {
		return nil, errors.New(strings.Join(c.faults, "\n"))
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
		StopGrace:         c.duration("Bounds/StopGrace", b.GetStopGrace(), defaultEntryGrace),
		RetryRatio:        b.GetRetryRatio(),
		RetryWindow:       c.duration("Bounds/RetryWindow", b.GetRetryWindow(), defaultRetryWindow),
		RetryExtra:        int(b.GetRetryExtra()), // A part of a retry is none.
		UpstreamHeartbeat: c.duration("Bounds/Heartbeat", b.GetHeartbeat(), defaultUpstreamHB),
		LeaveWithin:       c.duration("Bounds/LeaveWithin", b.GetLeaveWithin(), defaultLeaveWithin),
		LookupTTL:         c.duration("Bounds/LookupTtl", b.GetLookupTtl(), defaultLookupTTL),
		FirstStart:        m.GetFirstStart(),
		RevokeWithin:      c.duration("Bounds/RevokeWithin", b.GetRevokeWithin(), 0),
		Limits: ratelimit.Bounds{
			Window: c.duration("Bounds/LimitWindow", b.GetLimitWindow(), defaultLimitWindow), Excess: b.GetLimitExcess(), Slack: b.GetLimitSlack(),
		},
		Capacity: member.Capacity{
			LinkMbps: m.GetCapacity().GetLinkMbps(), Cores: m.GetCapacity().GetCpuShare() * m.GetCapacity().GetCores(),
		},
	}
	c.want(s.Name != "", "Name", "is missing; a name no other VM has would do")
	c.want(s.Regions[s.Zone] != "", "Zone", fmt.Sprintf("%q is not in Regions; an availability zone listed there would do", s.Zone))
	c.want(s.Region == s.Regions[s.Zone], "Region", fmt.Sprintf("%q is not the region of zone %q, which is %q", s.Region, s.Zone, s.Regions[s.Zone]))
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
	c.want(s.RetryRatio >= 0 && s.RetryRatio <= 1, "Bounds/RetryRatio", "must be from 0 to 1")
	c.want(s.Capacity.LinkMbps >= 0, "Capacity/LinkMbps", "must not be below 0; 0 says that it is not known")
	c.want(m.GetCapacity().GetCpuShare() >= 0, "Capacity/CpuShare", "must not be below 0; 0 says that it is not known")
	c.want(m.GetCapacity().GetCores() >= 0, "Capacity/Cores", "must not be below 0; 0 says that it is not known")
	c.want(s.RevokeWithin == 0 || s.RevokeWithin >= leastRevoke, "Bounds/RevokeWithin", "must be 2.5s at least: VMs hear of each other twice a second, and one that has just started a second later")
	c.want(s.Limits.Excess >= 0 && s.Limits.Excess <= 1, "Bounds/LimitExcess", "must be from 0 to 1")
	c.want(s.Limits.Slack >= 0, "Bounds/LimitSlack", "must not be below 0")
	c.want(s.RetryExtra >= 0, "Bounds/RetryExtra", "must not be below 0")
	return s
}

// duration parses a positive duration, def where the text is empty.
func (c *checker) duration(field, text string, def time.Duration) time.Duration {
	if text == "" {
		return def
	}
	d, err := time.ParseDuration(text)
	c.want(err == nil && d > 0, field, fmt.Sprintf("%q is no duration above 0; 2.5s would do", text))
	return d
}
