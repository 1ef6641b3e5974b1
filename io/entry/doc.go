// Package entry is one entry VM's process where the platform keeps the rules
// and the register of upstreams: it takes callers' requests in, finds their
// route, chooses an upstream and carries the request there and the answer back.
//
// All VMs are alike and none leads. Each keeps copies of two of the platform's
// tables, the rules and the upstreams, and brings them up to date from the
// platform or, while the platform turns it away, from another VM. What the
// platform's tables hold is known to the Platform alone.
//
// # Usage
//
//	v, err := entry.New(cfg, platform, protocol, log)
//	err = v.Run(ctx, reload)     // Serves until ctx ends, then leaves gracefully.
//
// When ctx ends the VM is no longer ready and no longer named by the directory,
// goes on serving callers that still know it, finishes what is in flight and
// returns within the grace time of the settings.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/poison"
	"auburnlatch/core/replica"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
)

// The tables that a VM keeps copies of.
const (
	TableRules   = "Rules"
	TableTargets = "Targets"
)

// ErrHistory says that a table's changes after a version are not kept any more.
var ErrHistory = errors.New("the history is no longer kept")

// Rules is what operators have set.
type Rules struct {
	Config      *route.Config
	Evacuations target.Evacuations
}

// Platform is where the rules and the register of upstreams are kept.
type Platform interface {
	// Read returns a table whole.
	Read(ctx context.Context, table string) (replica.Delta, error)
	// Changes returns what changed after a version as soon as there is
	// something, or after the wait. It returns ErrHistory where that is no
	// longer known.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (replica.Delta, error)
	// Trip returns how long a round trip to the platform takes. It is no call: the
	// platform counts those.
	Trip(ctx context.Context) (time.Duration, error)
	// Same reports whether two values of a row mean the same.
	Same(table, key string, a, b []byte) bool
	// Rules decodes the table of rules. A nil Config says that there is none.
	Rules(rows []replica.Row) (Rules, error)
	// Registration decodes a row of the table of upstreams.
	Registration(row replica.Row) (target.Registration, error)
	// Announce registers the address at which other VMs reach this one.
	Announce(ctx context.Context, name, peerAddr string) error
	// Withdraw takes the registration back.
	Withdraw(ctx context.Context, name string) error
	// VMs returns the registered addresses.
	VMs(ctx context.Context) ([]string, error)
	// KeepPlacements keeps a region's placements, in place of those before.
	KeepPlacements(ctx context.Context, region string, data []byte) error
	// Placements returns them; nil: there are none.
	Placements(ctx context.Context, region string) ([]byte, error)
	// KeepBans keeps bans of requests, each in place of an earlier one of its request.
	KeepBans(ctx context.Context, bans []poison.Ban) error
	// Bans returns all.
	Bans(ctx context.Context) ([]poison.Ban, error)
	// DropBans forgets those of some requests.
	DropBans(ctx context.Context, prints []poison.Print) error
}

// Protocol names the header fields that callers and upstreams use.
type Protocol struct {
	// RequestID names one attempt of a caller; upstreams repeat it.
	RequestID string
	// DeadlineMillis is how long the sender will wait.
	DeadlineMillis string
	// ExpectTarget names the incarnation that a request is meant for. Any other
	// answers 421 and does not run it.
	ExpectTarget string
	// NotRun marks an answer as the upstream's word that it did not run the
	// request.
	NotRun string
	// Load has the requests running, those waiting and the slots.
	Load string
	// Limit is how many requests a second the upstream takes of all VMs together, as a
	// decimal number; an answer without it says that there is no limit.
	Limit string
	// Leaving is "1" in the answers of an upstream that is going away and wants nothing new.
	Leaving string
	// Team tells an upstream whose request it is.
	Team string
	// Key returns the object that a request concerns, or "".
	Key func(*http.Request) string
	// Caller returns what names the caller of a request, wherever it comes from; nil:
	// nothing does.
	Caller func(*http.Request) string
}

// Lookup is the answer to a caller that asks where to connect.
type Lookup struct {
	Addrs []string
	TTL   time.Duration
}

// Front is what the platform's protocol for look-ups and checks needs.
type Front interface {
	// Ready reports whether the VM should be sent requests.
	Ready() bool
	// Lookup returns the VMs for a caller in a region and zone.
	Lookup(now time.Time, region, zone string) Lookup
}
