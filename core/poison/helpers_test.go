package poison_test

import (
	"time"

	"auburnlatch/core/poison"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func requestOf(name string) *poison.Request {
	return poison.NewRequest(poison.Content{Method: "GET", Host: "h", URI: "/" + name})
}

func printOf(name string) poison.Print { return requestOf(name).Print() }

// crash has an upstream crash at a time during runs that began 100 ms before.
func crash(l *poison.Ledger, ms int, target string, names ...string) {
	for _, name := range names {
		trial, _ := l.Admit(at(ms-100), printOf(name))
		run := poison.Run{Print: printOf(name), Target: target, Began: at(ms - 100), Ended: at(ms), Alone: trial != nil && trial.Alone}
		trial.Done()
		l.ConnectionLost(at(ms), run)
	}
	l.Crashed(at(ms+20), target)
}

// answerAndSurvive has a request answered whose run began 100 ms before, by an upstream that a
// probe finds alive 100 ms later.
func answerAndSurvive(l *poison.Ledger, ms int, name string) {
	answer(l, ms, name)
	l.NotCrashed(at(ms+100), "lives", true)
}

// answer has the upstream "lives" answer a request whose run began 100 ms before.
func answer(l *poison.Ledger, ms int, name string) {
	l.Served(at(ms), poison.Run{Print: printOf(name), Target: "lives", Began: at(ms - 100), Ended: at(ms)})
}

// admitted reports whether a request may be forwarded, and ends its trial at once.
func admitted(l *poison.Ledger, ms int, name string) bool {
	trial, refused := l.Admit(at(ms), printOf(name))
	trial.Done()
	return refused == nil
}

// banned reports whether a request is rejected for more than a minute.
func banned(l *poison.Ledger, ms int, name string) bool {
	trial, refused := l.Admit(at(ms), printOf(name))
	trial.Done()
	return refused != nil && refused.RetryAfter > time.Minute
}
