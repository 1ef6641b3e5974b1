package http1_test

import (
	"fmt"
	"io"
	"net"
	"net/http"

	"auburnlatch/io/http1"
)

func ExampleNewTransport() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\nbytes")
	}()
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{})}
	req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", http.NoBody)
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = client.Transport.RoundTrip(req)
	fmt.Println(err)
	// Output: net/http: HTTP/1.x transport connection broken: malformed response head: ' ' in the name of a field
}
