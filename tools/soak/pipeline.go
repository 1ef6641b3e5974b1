package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"auburnlatch/platform"
	"auburnlatch/platform/standin"
)

const (
	// pipeliners is the number of callers that pipeline requests.
	pipeliners = 3
	// maxPipelined is the largest number of requests sent before a response is read.
	maxPipelined = 5
	// pipelineTimeout is the time limit of one such connection.
	pipelineTimeout = 4 * time.Second
)

// pipeliner sends pipelined GET requests on a connection and checks that the responses
// arrive in order.
type pipeliner struct {
	fleet  *fleet
	number int
	rnd    *rand.Rand
	wait   *sync.WaitGroup
}

// run sends requests until ctx is done.
func (p *pipeliner) run(ctx context.Context) {
	defer p.wait.Done()
	for n := 0; ctx.Err() == nil; n++ {
		p.ask(fmt.Sprintf("l%d-%d", p.number, n))
		<-time.After(time.Duration(p.rnd.ExpFloat64() * float64(callInterval)))
	}
}

// ask opens a connection and sends some requests. Requests after a response that closes
// the connection, and those that the caller does not wait for, receive no response.
func (p *pipeliner) ask(name string) {
	v := p.fleet.vms[p.rnd.IntN(len(p.fleet.vms))]
	conn, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(pipelineTimeout)) != nil {
		return
	}
	ids := make([]string, 1+p.rnd.IntN(maxPipelined))
	var text strings.Builder
	for i := range ids {
		ids[i] = fmt.Sprint(name, "-", i)
		names := platform.Protocol()
		fmt.Fprintf(&text, "GET /get/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 1500\r\n\r\n", names.RequestID, ids[i], names.DeadlineMillis)
		p.fleet.ledger.recordRequest(ids[i], v, false)
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return
	}
	r := bufio.NewReader(conn)
	stay := p.rnd.IntN(len(ids) + 1) // Some callers close the connection early.
	p.fleet.ledger.recordCanceled(ids[stay:])
	for i, id := range ids[:stay] {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return
		}
		p.fleet.ledger.recordResponse(id, resp.StatusCode, string(got) == standin.Answer(id, nil))
		if resp.Close {
			p.fleet.ledger.recordCanceled(ids[i+1:])
			return
		}
	}
}
