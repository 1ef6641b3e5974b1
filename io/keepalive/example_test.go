package keepalive_test

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"auburnlatch/io/keepalive"
)

func ExampleServer() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	srv := &keepalive.Server{HTTP: &http.Server{Handler: http.NotFoundHandler()}}
	done := make(chan error)
	go func() { done <- srv.Serve(l) }()
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	resp.Body.Close()
	fmt.Println(resp.Status)
	fmt.Println(srv.Shutdown(context.Background()))
	fmt.Println(<-done)
	// Output:
	// 404 Not Found
	// <nil>
	// http: Server closed
}
