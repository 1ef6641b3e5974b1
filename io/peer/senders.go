package peer

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// sendersTTL is how long a VM that has sent a datagram counts as a peer without being
	// known as one: a VM that has started knows all others by then.
	sendersTTL = 3 * time.Second
	// maxSenders bounds the remembered VMs: more than a fleet has.
	maxSenders = 1024
)

// senders are the addresses from which datagrams arrived lately. The zero value is ready to use.
type senders struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *senders) add(now time.Time, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[string]time.Time)
	}
	if _, ok := s.at[addr]; ok || len(s.at) < maxSenders {
		s.at[addr] = now
	}
}

// get returns the addresses that were added within sendersTTL, sorted.
func (s *senders) get(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.at, func(_ string, at time.Time) bool { return now.Sub(at) > sendersTTL })
	return slices.Sorted(maps.Keys(s.at))
}
