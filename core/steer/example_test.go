package steer_test

import (
	"fmt"
	"time"

	"auburnlatch/core/steer"
)

// A zone's callers need 15 slots and the zone has 10. The rest goes to the next
// zone, with at most a fifth of the traffic moved within a minute.
func ExampleRow_Move() {
	wanted := steer.Solve(steer.Problem{
		Supplies: []steer.ZoneSupply{{Zone: "nord", Slots: 10}, {Zone: "sud", Slots: 10}},
		Demands:  []steer.Demand{{Origin: "nord", Slots: 15}},
		Paths:    []steer.Path{{Origin: "nord", Zone: "nord"}, {Origin: "nord", Zone: "sud", RoundTrip: 110 * time.Millisecond}},
	})["nord"]
	var row steer.Row
	now := time.Unix(0, 0)
	limit := steer.Limit{Cap: 0.2}
	row.Move(now, steer.Weights{"nord": 1}, limit)
	left := row.Move(now, wanted, limit)
	fmt.Printf("wanted %.2f, in use %.2f, left %.2f\n", wanted["sud"], row.Weights()["sud"], left)
	left = row.Move(now.Add(61*time.Second), wanted, limit)
	fmt.Printf("a minute on %.2f, left %.2f\n", row.Weights()["sud"], left)
	// Output:
	// wanted 0.33, in use 0.20, left 0.13
	// a minute on 0.33, left 0.00
}
