package poison_test

import (
	"fmt"
	"testing"

	"auburnlatch/core/poison"
)

// BenchmarkUnsuspectedRequest measures the check of a request that is not suspected, with 1,000
// bans and 1,000 suspects.
func BenchmarkUnsuspectedRequest(b *testing.B) {
	l := poison.NewLedger()
	var bans []poison.Ban
	for i := range 1000 {
		bans = append(bans, poison.Ban{Print: printOf(fmt.Sprint("b-", i)), At: at(i).UnixMilli()})
		crash(l, i, fmt.Sprint("i-", i), fmt.Sprint("s-", i))
	}
	l.MergeNews(at(0), poison.News{Bans: bans})
	body := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		req := poison.NewRequest(poison.Content{Method: "GET", Host: "dany74.example", URI: "/xami820/go91/12/4260", Caller: "Bearer k\n12", Body: body})
		if l.Knows(req.Head()) {
			b.Fatal("a request that is neither suspected nor banned is known")
		}
	}
}

// BenchmarkPrint measures the print of a request, which covers its body.
func BenchmarkPrint(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := poison.Content{Method: "GET", Host: "dany74.example", URI: "/xami820/go91/12/4260", Caller: "Bearer k\n12", Body: make([]byte, size)}
			for b.Loop() {
				c.Print()
			}
		})
	}
}

// BenchmarkTick measures Tick on a full Ledger, which runs five times a second.
func BenchmarkTick(b *testing.B) {
	l := poison.NewLedger()
	for i := range 4096 {
		crash(l, 200*i, fmt.Sprint("i-", i), fmt.Sprint("s-", i))
	}
	for b.Loop() {
		l.Tick(at(1000000))
	}
}

func BenchmarkServedUnsuspected(b *testing.B) {
	l, req := poison.NewLedger(), requestOf("a")
	for b.Loop() {
		l.ServedUnsuspected(poison.Run{Target: "i-1", Began: at(0), Ended: at(50)}, req)
	}
}
