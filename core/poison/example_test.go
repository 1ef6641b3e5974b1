package poison_test

import (
	"fmt"
	"time"

	"auburnlatch/core/poison"
)

// A request crashes three upstreams, one after the other, and is rejected the fourth time.
func Example() {
	l := poison.NewLedger()
	req := poison.NewRequest(poison.Content{Method: "GET", Host: "h", URI: "/history/7", Caller: "depot"})
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 4 {
		trial, refused := l.Admit(now, req.Print())
		if refused != nil {
			fmt.Println(refused.Verdict, refused.Reason)
			return
		}
		upstream := fmt.Sprint("i-", i)
		run := poison.Run{Print: req.Print(), Target: upstream, Began: now, Ended: now.Add(time.Second), Alone: trial != nil && trial.Alone}
		now = now.Add(time.Second)
		l.ConnectionLost(now, run)
		l.Crashed(now, upstream)
		trial.Done()
		now = now.Add(time.Second)
		l.Tick(now)
	}
	// Output: NotRun Quarantined
}
