package caller

import (
	"slices"
	"strings"
	"sync"

	"auburnlatch/core/claim"
	"auburnlatch/io/platform"
)

// openClaims is the set of attempts whose rows are not settled yet.
type openClaims struct {
	mu       sync.Mutex
	attempts map[string]*claim.Attempt
}

func (o *openClaims) add(a *claim.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attempts == nil {
		o.attempts = map[string]*claim.Attempt{}
	}
	o.attempts[a.ID] = a
}

func (o *openClaims) remove(a *claim.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.attempts, a.ID)
}

// list returns the open claims, sorted by attempt ID. It reads only the immutable
// fields of attempts, as other goroutines use them meanwhile.
func (o *openClaims) list() []platform.ListedClaim {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []platform.ListedClaim
	for _, a := range o.attempts {
		list = append(list, platform.ListedClaim{Key: a.Key, Row: claim.Row{
			Attempt: a.ID, State: claim.Claimed, Digest: a.Digest, Holder: a.Holder, Deadline: a.Deadline,
		}})
	}
	slices.SortFunc(list, func(a, b platform.ListedClaim) int { return strings.Compare(a.Row.Attempt, b.Row.Attempt) })
	return list
}
