package tcp

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The verdict on a peer, by what the kernel tells at each look.
func TestSlowPeerVerdict(t *testing.T) {
	const timeout, every = 1500 * time.Millisecond, 375 * time.Millisecond
	closedWindow := unix.TCPInfo{Notsent_bytes: 1000, Last_data_sent: 2000, Last_ack_recv: 1400}
	probed := unix.TCPInfo{Notsent_bytes: 1000, Last_data_sent: 2000, Last_ack_recv: 1400, Probes: 1}
	lost := unix.TCPInfo{Unacked: 1, Retransmits: 1, Last_data_sent: 100, Last_ack_recv: 5000}
	answered := unix.TCPInfo{Unacked: 1, Last_data_sent: 100, Last_ack_recv: 90}
	untimed := unix.TCPInfo{Unacked: 1}
	for _, tc := range []struct {
		name  string
		looks []unix.TCPInfo
		gone  bool
		timed bool
	}{
		{"the window is closed and probes are answered", []unix.TCPInfo{closedWindow, closedWindow, closedWindow, closedWindow, closedWindow, closedWindow}, false, true},
		{"a probe is not answered", []unix.TCPInfo{probed, probed, probed, probed}, true, true},
		{"a probe is answered late", []unix.TCPInfo{probed, probed, probed, closedWindow, probed}, false, true},
		{"sent bytes are lost", []unix.TCPInfo{lost, lost, lost, lost}, true, true},
		{"sent bytes are lost for a while", []unix.TCPInfo{lost, lost, lost, answered, lost}, false, true},
		{"sent bytes are answered and not acknowledged", []unix.TCPInfo{answered, answered, answered, answered, answered}, false, true},
		{"nothing is sent", []unix.TCPInfo{{Last_data_sent: 9000, Last_ack_recv: 9000}}, false, true},
		{"no times", []unix.TCPInfo{untimed, untimed}, false, false},
		{"no times once", []unix.TCPInfo{untimed, answered, untimed}, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &SlowPeer{timeout: timeout}
			now := time.Unix(1000, 0)
			gone, timed := false, true
			for _, info := range tc.looks {
				now = now.Add(every)
				timed = s.timed(&info)
				gone = timed && s.isGone(now, &info)
			}
			if gone != tc.gone || timed != tc.timed {
				t.Errorf("gone %v, timed %v, want %v, %v", gone, timed, tc.gone, tc.timed)
			}
		})
	}
}
