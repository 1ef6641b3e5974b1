package claim_test

import (
	"fmt"
	"time"

	"auburnlatch/core/claim"
)

// The response to a claim is lost. The attempt writes a tombstone on the same
// condition, finds that its own claim was applied, and goes on.
func ExampleAttempt() {
	now := time.Unix(0, 0)
	key := claim.Key{Service: "programari", Caller: "depot-cluj", Idempotency: "itp-1"}
	a := claim.New(key, "attempt-1", "digest", claim.Holder{VM: "vm-a"}, now.Add(time.Second))
	act := a.Start(now)
	fmt.Println(act.Row.State)
	act = a.Written(now, claim.Result{Outcome: claim.Unknown})
	fmt.Println(act.Row.State)
	own := claim.Row{Attempt: "attempt-1", State: claim.Claimed, Digest: "digest"}
	act = a.Written(now, claim.Result{Outcome: claim.Conflict, Version: 7, Row: own})
	fmt.Println(act.Kind == claim.Dispatch)
	// Output:
	// Claimed
	// Tombstone
	// true
}
