package admission_test

import (
	"fmt"
	"time"

	"auburnlatch/core/admission"
)

// A service has requests of two ranks, and its slots are taken. Upstreams are filled less for the
// lower rank, so that requests of the higher one still find room in time.
func Example() {
	var c admission.Controller
	now := time.Unix(0, 0)
	change := admission.Request{Service: "roastery", Objective: 400 * time.Millisecond, Within: 400 * time.Millisecond}
	upload := admission.Request{Service: "roastery", Rank: admission.Rank{Priority: 2}, Objective: 1200 * time.Millisecond, Within: 1200 * time.Millisecond}
	for range 10 {
		for _, req := range []admission.Request{change, upload} {
			c.Record(now, req, admission.Decision{}, true)
			c.Answered(now, req, 150*time.Millisecond)
		}
	}
	fmt.Printf("change %.2f, upload %.2f\n", c.Decide(now, 1.3, change).Depth, c.Decide(now, 1.3, upload).Depth)
	// Output: change 2.67, upload 1.50
}
