package main

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// mode is what a proxy does to the data that it forwards.
type mode int32

const (
	pass   mode = iota
	slow        // Data is delayed by slowDelay.
	reset       // Connections are reset, including new ones.
	silent      // Data is dropped in both directions.
	oneWay      // Data from the target is dropped.
)

var modeNames = [...]string{"pass", "slow", "reset", "silent", "oneWay"}

// slowDelay is the delay of each chunk of data.
const slowDelay = 120 * time.Millisecond

// proxy forwards TCP connections to an address.
type proxy struct {
	l          net.Listener
	listenAddr string // IP:port.
	// acceptAlways makes the proxy accept connections also when the target is down, as a
	// load balancer in front of upstreams does.
	acceptAlways bool
	target       string
	mode         atomic.Int32
	// lost is the percentage of chunks from the target at which the connection is reset.
	lost  atomic.Int32
	links *links // nil if it is not a proxy to an upstream.
}

func startProxy(to string, acceptAlways bool, l *links) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{l: listener, listenAddr: listener.Addr().String(), target: to, acceptAlways: acceptAlways, links: l}
	go p.run()
	return p, nil
}

func (p *proxy) addr() string { return p.listenAddr }

// redialInterval is the interval between checks whether the target listens again.
const redialInterval = 20 * time.Millisecond

// run accepts and forwards connections. When the target refuses a connection, the proxy
// resets the accepted one and, unless acceptAlways is set, refuses new ones until the
// target listens again, so that a VM sees the same refusals as without a proxy.
func (p *proxy) run() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		up, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			resetConn(c)
			if errors.Is(err, syscall.ECONNREFUSED) && !p.acceptAlways {
				p.refuse()
			}
			continue
		}
		both := &pair{vm: c, upstream: up}
		if p.links != nil && !p.links.accept(both) {
			resetConn(c)
			resetConn(up)
			continue
		}
		go (&stream{proxy: p, pair: both, from: c, to: up}).run()
		go (&stream{proxy: p, pair: both, from: up, to: c, back: true}).run()
	}
}

// refuse stops listening until the target accepts connections again.
func (p *proxy) refuse() {
	p.l.Close()
	for {
		<-time.After(redialInterval)
		up, err := net.DialTimeout("tcp", p.target, time.Second)
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		if err == nil {
			up.Close()
		}
		l, err := net.Listen("tcp", p.listenAddr)
		if err != nil {
			continue // The port is temporarily in use by another process's connection.
		}
		p.l = l
		return
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// stream forwards one direction of a connection.
type stream struct {
	proxy    *proxy
	pair     *pair
	from, to net.Conn
	back     bool
}

// run copies data until either end is closed. Data read in mode silent is lost, as on a
// path that drops packets for good.
func (s *stream) run() {
	if s.proxy.links != nil {
		defer s.proxy.links.remove(s.pair)
	}
	defer s.from.Close()
	defer s.to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := s.from.Read(buf)
		if n > 0 && !s.pass(buf[:n]) {
			return
		}
		if err != nil {
			if err != io.EOF {
				resetConn(s.to)
			}
			return
		}
	}
}

// pass forwards a chunk according to the mode and reports whether the connection stays
// open.
func (s *stream) pass(p []byte) bool {
	if s.proxy.links != nil && s.proxy.links.drops(s.pair) {
		return true
	}
	switch m := mode(s.proxy.mode.Load()); {
	case m == reset || s.back && rand.Int32N(100) < s.proxy.lost.Load():
		resetConn(s.from)
		resetConn(s.to)
		return false
	case m == silent || m == oneWay && s.back:
		return true
	case m == slow:
		<-time.After(slowDelay)
	}
	_, err := s.to.Write(p)
	return err == nil
}
