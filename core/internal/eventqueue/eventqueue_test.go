package eventqueue_test

import (
	"fmt"
	"time"

	"auburnlatch/core/internal/eventqueue"
)

func ExampleQueue() {
	start := time.Unix(0, 0)
	var q eventqueue.Queue
	q.Add(start.Add(2*time.Second), func(now time.Time) { fmt.Println("second, after", now.Sub(start)) })
	q.Add(start.Add(time.Second), func(now time.Time) {
		fmt.Println("first, after", now.Sub(start))
		q.Add(now.Add(time.Second), func(time.Time) { fmt.Println("third, added by the first") })
	})
	q.Add(start.Add(time.Minute), func(time.Time) { fmt.Println("never") })
	q.Run(start.Add(2 * time.Second))
	// Output:
	// first, after 1s
	// second, after 2s
	// third, added by the first
}
