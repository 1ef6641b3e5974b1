// Package freeport allocates loopback addresses for listeners of tests and of
// tools/soak.
//
// A port that the system assigned and that was closed again may be assigned to an
// outgoing connection of any process before its listener opens. A VM of a test then
// finds its address in use, and a VM that tools/soak restarts stays down. The ports
// allocated here are below the system's ephemeral ports, and a process allocates each
// of them once.
//
// # Usage
//
//	addr, err := freeport.Addr()
//	l, err := net.Listen("tcp", addr)
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// The range lies below 32768, where the system's ephemeral ports start by default.
	firstPort = 20000
	portCount = 12000
	// portsPerProcess is the distance between the first ports of processes with successive IDs, so
	// that concurrent processes use different ports.
	portsPerProcess = 100
)

// next counts the allocated ports.
var next = atomic.Int64{}

func init() { next.Store(int64(os.Getpid()) * portsPerProcess) }

// Addr returns a loopback address, IP:port, that is not in use.
func Addr() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%portCount)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}
