// Package settings reads and checks the settings file of a VM: JSON with comments,
// with the schema in schema/settings.proto.
//
// # Usage
//
//	cfg, err := settings.Load("/etc/auburnlatch/vm.jsonc")
//
// The error lists every problem with its file, line, field and how to correct it.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// Settings holds the settings of one VM.
type Settings struct {
	Name, Zone   string
	CallerAddr   string
	ForwardAddr  string
	PeerAddr     string
	OperatorAddr string
	Seeds        []string

	PlatformURL     string
	PlatformTimeout time.Duration

	TLS    *TLS
	Limits Limits
	Timing Timing
}

// TLS holds the certificate files of the operators' interface. Without them (nil) the
// interface uses no TLS.
type TLS struct {
	CertFile, KeyFile, ClientCAFile string
}

// Limits bounds the requests that one VM accepts from callers. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	MaxInFlight     int
	MaxStoredAnswer int64
}

// Timing holds the intervals of the control loops.
type Timing struct {
	Heartbeat, FailAfter, JoinHold, ConfigPoll, LookupTTL, Probe, StopGrace time.Duration
}

// Defaults of a VM's settings. Sizes are in bytes.
const (
	defaultPlatformTimeout = 2 * time.Second
	defaultMaxHeaderBytes  = 64 << 10
	defaultMaxBodyBytes    = 4 << 30
	defaultMaxInFlight     = 4096
	defaultMaxStoredAnswer = 8 << 20
	defaultHeartbeat       = 500 * time.Millisecond
	defaultFailAfter       = 5 * time.Second
	defaultJoinHold        = 8 * time.Second
	defaultConfigPoll      = time.Second
	defaultLookupTTL       = 5 * time.Second
	defaultProbe           = time.Second
	defaultStopGrace       = time.Hour
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse parses and checks settings. Errors refer to the file as name.
func Parse(name string, data []byte) (*Settings, error) {
	plainJSON, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	m := &schema.Settings{}
	if err := protojson.Unmarshal(plainJSON, m); err != nil {
		// Standardize replaces comments by spaces, so line numbers match the file.
		return nil, errors.Newf("%s: %s", name, trimProto(err))
	}
	s := fromSchema(m)
	c := &checker{name: name, data: data}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, errors.New(strings.Join(c.problems, "\n"))
	}
	return s, nil
}

// trimProto returns an error's message without the prefix that protojson adds. protojson
// varies the kind of space in it.
func trimProto(err error) string {
	s := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return strings.TrimPrefix(s, "proto: ")
}

func fromSchema(m *schema.Settings) *Settings {
	l, t, p := m.GetLimits(), m.GetTiming(), m.GetPlatform()
	s := &Settings{
		Name: m.GetName(), Zone: m.GetZone(),
		CallerAddr: m.GetCallerAddr(), ForwardAddr: m.GetForwardAddr(), PeerAddr: m.GetPeerAddr(), OperatorAddr: m.GetOperatorAddr(),
		Seeds: m.GetSeeds(), PlatformURL: p.GetUrl(), PlatformTimeout: wire.DurationOr(p.GetTimeout(), defaultPlatformTimeout),
		Limits: Limits{
			MaxHeaderBytes:  orDefault(int(l.GetMaxHeaderBytes()), defaultMaxHeaderBytes),
			MaxBodyBytes:    orDefault(l.GetMaxBodyBytes(), defaultMaxBodyBytes),
			MaxInFlight:     orDefault(int(l.GetMaxInFlight()), defaultMaxInFlight),
			MaxStoredAnswer: orDefault(l.GetMaxStoredAnswer(), defaultMaxStoredAnswer),
		},
		Timing: Timing{
			Heartbeat: wire.DurationOr(t.GetHeartbeat(), defaultHeartbeat), FailAfter: wire.DurationOr(t.GetFailAfter(), defaultFailAfter),
			JoinHold: wire.DurationOr(t.GetJoinHold(), defaultJoinHold), ConfigPoll: wire.DurationOr(t.GetConfigPoll(), defaultConfigPoll),
			LookupTTL: wire.DurationOr(t.GetLookupTtl(), defaultLookupTTL), Probe: wire.DurationOr(t.GetProbe(), defaultProbe),
			StopGrace: wire.DurationOr(t.GetStopGrace(), defaultStopGrace),
		},
	}
	if tls := m.GetOperatorTls(); tls != nil {
		s.TLS = &TLS{CertFile: tls.GetCertFile(), KeyFile: tls.GetKeyFile(), ClientCAFile: tls.GetClientCaFile()}
	}
	return s
}

func orDefault[T int | int64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// checker collects the problems found in a settings file.
type checker struct {
	name     string
	data     []byte
	problems []string
}

func (c *checker) check(s *Settings) {
	c.require(s.Name != "", "Name", "is missing; use a name that no other VM has")
	c.require(s.Zone != "", "Zone", "is missing; use the name of the availability zone in the inventory")
	c.addr("CallerAddr", s.CallerAddr)
	c.addr("ForwardAddr", s.ForwardAddr)
	c.addr("PeerAddr", s.PeerAddr)
	c.addr("OperatorAddr", s.OperatorAddr)
	for _, seed := range s.Seeds {
		c.addr("Seeds", seed)
	}
	u, err := url.Parse(s.PlatformURL)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "",
		"Platform/Url", fmt.Sprintf("%q is not an http or https URL, such as http://10.0.0.1:7400", s.PlatformURL))
	c.timing(s.Timing)
	c.require(s.PlatformTimeout > 0, "Platform/Timeout", "must be above 0s")
	c.require(s.Limits.MaxHeaderBytes >= 1024, "Limits/MaxHeaderBytes", "must be at least 1024")
	c.require(s.Limits.MaxBodyBytes > 0, "Limits/MaxBodyBytes", "must be above 0")
	c.require(s.Limits.MaxInFlight > 0, "Limits/MaxInFlight", "must be above 0")
	c.require(s.Limits.MaxStoredAnswer > 0, "Limits/MaxStoredAnswer", "must be above 0")
	if s.TLS != nil {
		c.file("OperatorTls/CertFile", s.TLS.CertFile)
		c.file("OperatorTls/KeyFile", s.TLS.KeyFile)
		c.file("OperatorTls/ClientCaFile", s.TLS.ClientCAFile)
	}
}

func (c *checker) timing(t Timing) {
	c.positive("Timing/Heartbeat", t.Heartbeat)
	c.positive("Timing/ConfigPoll", t.ConfigPoll)
	c.positive("Timing/LookupTtl", t.LookupTTL)
	c.positive("Timing/Probe", t.Probe)
	c.positive("Timing/StopGrace", t.StopGrace)
	c.require(t.FailAfter >= 3*t.Heartbeat, "Timing/FailAfter",
		fmt.Sprintf("%v is below three heartbeats of %v; use at least %v", t.FailAfter, t.Heartbeat, 3*t.Heartbeat))
	c.require(t.JoinHold >= t.FailAfter, "Timing/JoinHold",
		fmt.Sprintf("%v is below FailAfter; use at least %v", t.JoinHold, t.FailAfter))
}

func (c *checker) positive(field string, d time.Duration) {
	c.require(d > 0, field, fmt.Sprintf("%v is not above 0s", d))
}

func (c *checker) addr(field, s string) {
	_, err := netip.ParseAddrPort(s)
	c.require(err == nil, field, fmt.Sprintf("%q is not an IP:port, such as 10.0.0.1:7000", s))
}

func (c *checker) file(field, path string) {
	_, err := os.Stat(path)
	c.require(err == nil, field, fmt.Sprintf("cannot read %q; OperatorTls needs all three files", path))
}

// require records a problem of a field unless ok. field is the path in the settings, with
// slashes.
func (c *checker) require(ok bool, field, problem string) {
	if ok {
		return
	}
	c.problems = append(c.problems, fmt.Sprintf("%s:%d: %s: %s", c.name, c.line(field), strings.ReplaceAll(field, "/", "."), problem))
}

// line returns the line of a field or, if the field is missing, of the innermost
// object that would contain it.
func (c *checker) line(field string) int {
	v, err := hujson.Parse(c.data)
	if err != nil {
		return 1
	}
	parts := strings.Split(field, "/")
	for n := len(parts); n > 0; n-- {
		if found := v.Find("/" + strings.Join(parts[:n], "/")); found != nil {
			return 1 + strings.Count(string(c.data[:found.StartOffset]), "\n")
		}
	}
	return 1
}
