package overdue_test

import (
	"fmt"
	"time"

	"auburnlatch/core/overdue"
)

func Example() {
	var e overdue.Estimator
	lookUp := overdue.Class{Route: "look-up", Service: "catalog", Warm: true}
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 100 {
		e.Observe(now, lookUp, 200*time.Millisecond)
	}
	at, ok := e.Due(now, overdue.Request{Class: lookUp, Idempotent: true, Sent: 1, Attempts: 2, Deadline: now.Add(time.Second)})
	fmt.Println(at.Sub(now).Round(10*time.Millisecond), ok)
	// Output: 200ms true
}
