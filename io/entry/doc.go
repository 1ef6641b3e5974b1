// Package entry implements the process of an entry VM for the mode in which the
// platform stores the rules and the registry of upstreams. It receives callers'
// requests, finds their routes, chooses upstreams, and forwards the requests and
// their responses.
//
// All VMs are equal and there is no leader. Each keeps copies of two of the
// platform's tables, the rules and the upstreams. It updates them from the platform
// or, while the platform refuses its calls, from another VM. Only the Platform knows
// the format of the rows.
//
// # Usage
//
//	v := entry.New(cfg, platform, protocol, log)
//	err := v.Run(ctx, further) // Serves until ctx ends, then shuts down gracefully.
//
// When ctx ends, the VM is no longer ready and look-ups do not return it. It still
// serves callers that know its address, completes the requests in flight, and returns
// within the grace time of the settings.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/balance"
	"auburnlatch/core/poison"
	"auburnlatch/core/replica"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
)

// The tables of which a VM keeps copies.
const (
	TableRules   = "Rules"
	TableTargets = "Targets"
)

// ErrCompacted reports that the platform does not have the changes of a table after a version:
// they are no longer retained, or the platform was restored and has not reached the version.
var ErrCompacted = errors.New("no changes after the version")

// Rules are the operators' settings.
type Rules struct {
	Config      *route.Config
	Evacuations target.Evacuations
}

// Platform stores the rules and the registry of upstreams.
type Platform interface {
	// Read returns a whole table.
	Read(ctx context.Context, table string) (replica.Delta, error)
	// Changes returns the changes after a version as soon as there are any, or none
	// after the wait. It returns ErrCompacted if they are no longer retained.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (replica.Delta, error)
	// Era returns the era of the platform's newest answer; see replica.Head.
	Era() uint64
	// RTT returns the round-trip time to the platform. It must not be measured by a
	// call, as the platform counts calls.
	RTT(ctx context.Context) (time.Duration, error)
	// Same reports whether two values of a row have the same meaning.
	Same(table, key string, a, b []byte) bool
	// Meaning returns the same bytes for two values of a row if, and only if, Same.
	Meaning(table, key string, value []byte) []byte
	// Rules decodes the table of rules. Config is nil if there is none.
	Rules(rows []replica.Row) (Rules, error)
	// Registration decodes a row of the table of upstreams.
	Registration(row replica.Row) (target.Registration, error)
	// Announce registers the address at which other VMs reach this one.
	Announce(ctx context.Context, name, peerAddr string) error
	// Withdraw removes the registration.
	Withdraw(ctx context.Context, name string) error
	// VMs returns the registered addresses.
	VMs(ctx context.Context) ([]string, error)
	// SavePlacements stores a region's placements and replaces the previous ones.
	SavePlacements(ctx context.Context, region string, data []byte) error
	// Placements returns a region's placements, or nil if there are none.
	Placements(ctx context.Context, region string) ([]byte, error)
	// SaveBans stores bans of requests. Each replaces an earlier ban of its request.
	SaveBans(ctx context.Context, bans []poison.Ban) error
	// Bans returns all bans.
	Bans(ctx context.Context) ([]poison.Ban, error)
	// DeleteBans deletes the bans of some requests.
	DeleteBans(ctx context.Context, prints []poison.Print) error
}

// Protocol has the names of the header fields that callers and upstreams use.
type Protocol struct {
	// RequestID identifies one attempt of a caller. Upstreams echo it.
	RequestID string
	// DeadlineMillis is how long the sender will wait.
	DeadlineMillis string
	// ExpectTarget names the incarnation for which a request is meant. Any other
	// responds with 421 and does not run it.
	ExpectTarget string
	// Instance has the ID of the upstream in its responses to health checks, and ColdMillis how
	// long it stays cold, if it is. Without Instance, registrations alone say who is cold.
	Instance, ColdMillis string
	// NotRun marks a response as an upstream's statement that it did not run the
	// request.
	NotRun string
	// Load has the load of the upstream that responds.
	Load string
	// ParseLoad decodes the values of Load. The load is nil if there are none.
	ParseLoad func(values []string) (*balance.Load, error)
	// Limit is how many requests per second the upstream accepts from all VMs together,
	// as a decimal number. A response without it means that there is no limit.
	Limit string
	// Leaving is "1" in the responses of an upstream that shuts down and wants no new requests.
	Leaving string
	// Team names the team of a request to an upstream.
	Team string
	// Key returns the object that a request concerns, or "".
	Key func(*http.Request) string
	// Caller returns the identity of a request's caller, independent of the address it
	// calls from. If nil, callers have no identity.
	Caller func(*http.Request) string
}

// Lookup is the result of a caller's look-up of the VMs to connect to.
type Lookup struct {
	Addrs []string
	TTL   time.Duration
}

// Directory answers callers' look-ups and the platform's health checks.
type Directory interface {
	// Ready reports whether the VM should be sent requests.
	Ready() bool
	// Lookup returns the VMs for a caller in a region and zone.
	Lookup(now time.Time, region, zone string) Lookup
}
