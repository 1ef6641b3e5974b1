package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"auburnlatch/platform"
	"auburnlatch/platform/standin"
	"auburnlatch/standin/window"
)

const (
	// shapers is the number of callers with drawn shapes.
	shapers = 12
	// shapeDeadline is how long such a caller waits for a response.
	shapeDeadline = 4 * time.Second
	// certainTime is how long after a request was sent nothing may cut its response: less than
	// the timeout of its route, and than what a VM that stops has left for the last request.
	certainTime = 900 * time.Millisecond
	// maxShapePause is the longest pause of a caller or an upstream.
	maxShapePause = 50 * time.Millisecond
)

// planned are the faults beside which no response may be cut.
var planned = []string{"vmStopped", "vmReloaded", "rulesChanged"}

// shaped is a request with a shape.
type shaped struct {
	id   string
	once bool
	standin.Shape
	chunks bool // The body is sent in chunks.
}

// shaper sends requests of all kinds behind one another, with bodies and responses of drawn sizes, and
// checks that each response is whole.
type shaper struct {
	fleet  *fleet
	number int
	rnd    *rand.Rand
	wait   *sync.WaitGroup
	broken []string
}

// run sends requests until ctx is done.
func (s *shaper) run(ctx context.Context) {
	defer s.wait.Done()
	for n := 0; ctx.Err() == nil; n++ {
		s.ask(fmt.Sprintf("s%d-%d", s.number, n))
		<-time.After(time.Duration(s.rnd.ExpFloat64() * float64(callInterval)))
	}
}

// shapersOf returns how many callers with drawn shapes there are.
func shapersOf(cmd *runCmd) int {
	if cmd.Shapes {
		return shapers
	}
	return 0
}

// size draws a number of bytes below a bound, as often of each magnitude.
func (s *shaper) size(limit int) int {
	for limit > 1<<10 && s.rnd.IntN(3) > 0 {
		limit /= 4
	}
	return s.rnd.IntN(limit)
}

// draw draws the requests of a connection. receiveBuffer is that of the caller, 0 for the host's.
func (s *shaper) draw(name string, receiveBuffer int) []shaped {
	list := make([]shaped, 1+s.rnd.IntN(4))
	for i := range list {
		q := shaped{id: fmt.Sprint(name, "-", i), once: s.rnd.IntN(2) == 0, chunks: s.rnd.IntN(2) == 0}
		q.Size = s.size(1 << 20)
		if receiveBuffer != 0 {
			q.Size = s.size(64 << 10)
		}
		if q.once {
			q.Sent = s.size(8 << 20)
			q.Early = s.rnd.IntN(4) == 0
		}
		q.Chunked = s.rnd.IntN(2) == 0
		q.Pause = time.Duration(s.rnd.Int64N(int64(maxShapePause)))
		list[i] = q
	}
	return list
}

// dial connects with a receive buffer; 0: that of the host.
func (s *shaper) dial(v *vm, receiveBuffer int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: window.Control(receiveBuffer)}
	return d.Dial("tcp", v.front)
}

// ask sends the requests of one connection and reads the responses.
func (s *shaper) ask(name string) {
	receiveBuffer := []int{0, 4 << 10, 16 << 10}[s.rnd.IntN(3)]
	v := s.fleet.vms[s.rnd.IntN(len(s.fleet.vms))]
	list := s.draw(name, receiveBuffer)
	conn, err := s.dial(v, receiveBuffer)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(shapeDeadline))
	began := time.Now()
	for _, q := range list {
		s.fleet.ledger.recordRequest(q.id, v, q.once)
		s.fleet.ledger.recordCanceled([]string{q.id}) // Until its response is there.
	}
	w := &shapeWriter{conn: conn, list: list, rnd: rand.New(rand.NewPCG(s.rnd.Uint64(), 0)), leaves: s.rnd.IntN(8) == 0, done: make(chan struct{})}
	go w.run()
	s.receive(conn, list, began, w.leaves)
	conn.Close()
	<-w.done
}

// receive reads the responses and checks them. A caller that leaves may get none.
func (s *shaper) receive(conn net.Conn, list []shaped, began time.Time, leaves bool) {
	r := bufio.NewReader(conn)
	for _, q := range list {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			if time.Since(began) < certainTime && !leaves {
				s.fleet.ledger.recordUnanswered(q.id)
			}
			return
		}
		got, err := s.read(resp.Body)
		resp.Body.Close()
		if err != nil {
			if took := time.Since(began); took < certainTime && !leaves {
				s.broken = append(s.broken, fmt.Sprintf("a response was cut after %v and %d bytes: request %s, %+v, %v", took, len(got), q.id, q, err))
			}
			return
		}
		intact := bytes.Equal(got, standin.ShapeAnswer(q.id, q.Size))
		s.fleet.ledger.recordResponse(q.id, resp.StatusCode, intact)
		if resp.Close {
			return
		}
	}
}

// read reads a body with pauses.
func (s *shaper) read(body io.Reader) ([]byte, error) {
	var got bytes.Buffer
	for {
		_, err := io.CopyN(&got, body, int64(1+s.rnd.IntN(64<<10)))
		if err == io.EOF {
			return got.Bytes(), nil
		}
		if err != nil {
			return got.Bytes(), err
		}
		time.Sleep(time.Duration(s.rnd.Int64N(int64(maxShapePause / 10))))
	}
}

// shapeWriter writes the requests of a connection.
type shapeWriter struct {
	conn net.Conn
	list []shaped
	rnd  *rand.Rand
	// leaves says that the caller leaves within its last request.
	leaves bool
	done   chan struct{}
}

// run writes the requests with pauses in between.
func (w *shapeWriter) run() {
	defer close(w.done)
	for i, q := range w.list {
		last := i == len(w.list)-1
		text := w.text(q)
		if last && w.leaves {
			text = text[:w.rnd.IntN(len(text))]
		}
		if _, err := w.conn.Write(text); err != nil {
			return
		}
		if last && w.leaves {
			w.conn.Close()
			return
		}
		if w.rnd.IntN(2) == 0 {
			time.Sleep(time.Duration(w.rnd.Int64N(int64(maxShapePause))))
		}
	}
}

// text returns a request as it is sent.
func (w *shapeWriter) text(q shaped) []byte {
	p := platform.Protocol()
	method, path := http.MethodGet, "/get/1"
	if q.once {
		method, path = http.MethodPost, "/post/1"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s?%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\n", method, path, q.Query(), p.RequestID, q.id, p.DeadlineMillis, shapeDeadline.Milliseconds())
	body := standin.ShapeBody(q.id, q.Sent)
	switch {
	case !q.once:
		b.WriteString("\r\n")
	case !q.chunks:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
		b.Write(body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(len(body), 1+w.rnd.IntN(128<<10))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		b.WriteString("0\r\n\r\n")
	}
	return b.Bytes()
}
