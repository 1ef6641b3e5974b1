// Package endless sends what does not end, as a server or a caller in trouble does.
//
// # Usage
//
//	endless.Send(conn, "HTTP/1.1 200 OK\r\n", "Field: value\r\n", 4<<20)
package endless

import (
	"io"
	"net"
	"strings"
)

// Body is the body of a response that does not end: the fields after the status line with what
// follows them, and the part that is repeated.
type Body struct{ Begin, Repeat string }

// Bodies returns bodies without an end, by their form.
func Bodies() map[string]Body {
	return map[string]Body{
		"until the close": {"\r\n", "bytes"},
		"chunks":          {"Transfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"},
		"extension":       {"Transfer-Encoding: chunked\r\n\r\n5;name=", "value"},
		"long length":     {"Content-Length: 9223372036854775807\r\n\r\n", "bytes"},
		"trailer":         {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
	}
}

// chunkBytes is how much is written at a time.
const chunkBytes = 4 << 10

// Send writes begin, and then repeat again and again, until the connection is closed. After limit
// bytes it only waits for the close. It closes the connection.
func Send(c net.Conn, begin, repeat string, limit int64) {
	defer c.Close()
	if _, err := io.WriteString(c, begin); err != nil {
		return
	}
	chunk := strings.Repeat(repeat, chunkBytes/len(repeat))
	for n := int64(0); n < limit; n += int64(len(chunk)) {
		if _, err := io.WriteString(c, chunk); err != nil {
			return
		}
	}
	_, _ = c.Read(make([]byte, 1))
}
