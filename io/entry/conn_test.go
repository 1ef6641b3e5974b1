package entry

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"

	"auburnlatch/io/tcp"
)

// Guards against a read of a pipelined connection that does not return when it is closed.
func TestCloseEndsReadOfPipelinedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer client.Close()
		c := newCallerConn(server, nil, &tcp.Closer{})
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
