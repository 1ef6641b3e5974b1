package entry

import (
	"net"
	"time"
)

// lingerFor is how long a closing connection still reads what its caller has sent.
// If it were closed with unread bytes, it would be reset and the caller might lose
// the last response.
const lingerFor = 500 * time.Millisecond

// linger reads and discards what a caller has sent after its last response.
type linger struct{ conn net.Conn }

func (l *linger) start() error {
	if err := l.conn.SetReadDeadline(time.Now().Add(lingerFor)); err != nil {
		return l.conn.Close()
	}
	go l.run()
	return nil
}

// run reads until the caller has closed the connection too.
func (l *linger) run() {
	defer l.conn.Close()
	chunk := make([]byte, readChunk)
	for {
		if _, err := l.conn.Read(chunk); err != nil {
			return
		}
	}
}
