package poison_test

import (
	"time"

	"auburnlatch/core/poison"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at is the time so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func requestOf(name string) *poison.Request {
	return poison.NewRequest(poison.Content{Method: "GET", Host: "h", URI: "/" + name})
}

func printOf(name string) poison.Print { return requestOf(name).Print() }

// endUnder has an upstream end at a time under runs that began 100 ms before.
func endUnder(l *poison.Ledger, ms int, target string, names ...string) {
	for _, name := range names {
		trial, _ := l.Admit(at(ms-100), printOf(name))
		run := poison.Run{Print: printOf(name), Target: target, Began: at(ms - 100), Ended: at(ms), Alone: trial != nil && trial.Alone}
		trial.Done()
		l.Broke(at(ms), run)
	}
	l.Ended(at(ms+20), target)
}

// served has a request answered whose run began 100 ms before, by an upstream that lives on
// to be asked 100 ms later.
func served(l *poison.Ledger, ms int, name string) {
	answered(l, ms, name)
	l.NotEnded(at(ms+100), "lives", true)
}

// answered has the upstream "lives" answer a request whose run began 100 ms before.
func answered(l *poison.Ledger, ms int, name string) {
	l.Served(at(ms), poison.Run{Print: printOf(name), Target: "lives", Began: at(ms - 100), Ended: at(ms)})
}

// admitted reports whether a request may be sent on; its trial ends at once.
func admitted(l *poison.Ledger, ms int, name string) bool {
	trial, refused := l.Admit(at(ms), printOf(name))
	trial.Done()
	return refused == nil
}

// banned reports whether a request is refused for long.
func banned(l *poison.Ledger, ms int, name string) bool {
	trial, refused := l.Admit(at(ms), printOf(name))
	trial.Done()
	return refused != nil && refused.RetryAfter > time.Minute
}
