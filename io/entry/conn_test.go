package entry

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
)

// A connection with pipelined requests is closed while the server reads it. The read must
// return: a server that waits for it never ends.
func TestCloseEndsReadOfPipelinedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer client.Close()
		c := newCallerConn(server, nil)
		c.reading = true
		go c.readLoop()
		read := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			read <- err
		}()
		synctest.Wait()
		c.Close()
		if err := <-read; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Read: %v", err)
		}
	})
}
