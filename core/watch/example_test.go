package watch_test

import (
	"fmt"
	"time"

	"auburnlatch/core/watch"
)

func ExampleFirst() {
	vms := []watch.VM{
		{Name: "north-1", RTT: time.Millisecond},
		{Name: "north-2", RTT: 2 * time.Millisecond},
		{Name: "south-1", RTT: 110 * time.Millisecond},
	}
	for _, name := range watch.First(vms, 2) {
		fmt.Println(name)
	}
	// Unordered output:
	// north-1
	// north-2
}
