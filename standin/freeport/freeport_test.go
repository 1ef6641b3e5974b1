package freeport_test

import (
	"net"
	"testing"

	"auburnlatch/standin/freeport"
)

// A port must not be allocated twice, even if its listener is not open yet, and must lie
// below the system's ephemeral ports.
func TestEachAddressOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 200 {
		addr, err := freeport.Addr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was allocated twice", addr)
		}
		seen[addr] = true
		tcp, err := net.ResolveTCPAddr("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if tcp.Port >= 32768 || !tcp.IP.IsLoopback() {
			t.Errorf("%s is not a loopback address below the ephemeral ports", addr)
		}
	}
}
