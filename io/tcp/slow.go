package tcp

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrGone is the error of a connection that a SlowPeer has closed.
var ErrGone = errors.New("the peer's host acknowledges nothing any more")

// checksPerTimeout is how often a SlowPeer looks at its connection within its timeout.
const checksPerTimeout = 4

// maxUntimed is how many times in a row a kernel may name no times. One that does may have sent
// something and heard of it just then.
const maxUntimed = 2

// SetUserTimeout bounds how long sent bytes may stay unacknowledged, and how long a peer may not
// read. 0: the host's default.
func SetUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// SlowPeer tells a peer that does not read from one whose host is gone. The kernel applies the user
// timeout of a connection to both: it counts from the first probe of a closed window, whether
// or not its host answers the probes, and may go on to count while little is read. So a
// SlowPeer takes that timeout's place: it closes the connection when the last bytes or the last probe
// were not acknowledged for that long.
type SlowPeer struct {
	conn    net.Conn
	raw     syscall.RawConn
	timeout time.Duration
	timer   *time.Timer

	mu            sync.Mutex
	stopped, gone bool
	// acked is how many bytes the host had acknowledged, and untimed how often in a row the kernel
	// has named no times although that had not grown.
	acked   uint64
	untimed int
	// unanswered is since when the host has not acknowledged what it was sent; zero: it has.
	unanswered time.Time
}

// WatchSlow watches a connection with a user timeout until Stop. It returns nil if the kernel
// does not tell enough of the connection; then the user timeout holds.
func WatchSlow(conn net.Conn, timeout time.Duration) *SlowPeer {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	s := &SlowPeer{conn: conn, raw: raw, timeout: timeout}
	if info, ok := s.info(); !ok || info.State != unix.BPF_TCP_ESTABLISHED || SetUserTimeout(raw, 0) != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.interval(), s.run)
	return s
}

func (s *SlowPeer) interval() time.Duration { return s.timeout / checksPerTimeout }

// run looks at the connection, and does so again later.
func (s *SlowPeer) run() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	info, ok := s.info()
	if !ok {
		return // It was closed.
	}
	switch {
	case !s.timed(info):
		_ = SetUserTimeout(s.raw, s.timeout)
	case s.isGone(time.Now(), info):
		s.gone = true
		s.conn.Close()
	default:
		s.timer.Reset(s.interval())
	}
}

// timed reports whether the kernel knows when something was last sent and acknowledged. Some
// implementations of sockets leave these times at zero.
func (s *SlowPeer) timed(info *unix.TCPInfo) bool {
	untimed := info.Last_ack_recv == 0 && info.Last_data_sent == 0 && info.Bytes_acked == s.acked
	s.acked = info.Bytes_acked
	if !untimed {
		s.untimed = 0
		return true
	}
	s.untimed++
	return s.untimed < maxUntimed
}

// info returns what the kernel knows of the connection.
func (s *SlowPeer) info() (info *unix.TCPInfo, ok bool) {
	var err error
	cerr := s.raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, cerr == nil && err == nil
}

// isGone reports whether the peer's host has not acknowledged what it was sent for the timeout, by
// what the kernel knows now.
func (s *SlowPeer) isGone(now time.Time, info *unix.TCPInfo) bool {
	heard := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	switch {
	case info.Probes == 0 && (info.Unacked == 0 || info.Last_ack_recv <= info.Last_data_sent):
		s.unanswered = time.Time{}
	case s.unanswered.IsZero() || heard.After(s.unanswered):
		s.unanswered = now
	}
	// It was not answered since some moment of the interval before.
	return !s.unanswered.IsZero() && now.Sub(s.unanswered) >= s.timeout-s.interval()
}

// Err returns ErrGone if the connection was closed, or else err.
func (s *SlowPeer) Err(err error) error {
	if s == nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return ErrGone
	}
	return err
}

// Stop ends the watch. The user timeout holds again.
func (s *SlowPeer) Stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	_ = SetUserTimeout(s.raw, s.timeout)
}
