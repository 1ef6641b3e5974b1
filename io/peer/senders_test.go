package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against news for addresses that are long gone, and against unbounded memory.
func TestSendersAreRememberedBriefly(t *testing.T) {
	var s senders
	now := time.Now()
	if got := s.get(now); len(got) != 0 {
		t.Errorf("senders at the start: %v", got)
	}
	s.add(now, "a")
	s.add(now.Add(2*time.Second), "b")
	if got, want := s.get(now.Add(sendersTTL)), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("senders: %v, want %v", got, want)
	}
	if got, want := s.get(now.Add(sendersTTL+time.Second)), []string{"b"}; !slices.Equal(got, want) {
		t.Errorf("senders later: %v, want %v", got, want)
	}
	for i := range 2 * maxSenders {
		s.add(now.Add(4*time.Second), fmt.Sprint(i))
	}
	if got := len(s.get(now.Add(4 * time.Second))); got > maxSenders {
		t.Errorf("%d senders are remembered, want at most %d", got, maxSenders)
	}
}
