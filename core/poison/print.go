package poison

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// sumSize is the length of a Print's Sum in bytes. At this length nobody can forge a request
// with the Print of another one to have that one rejected.
const sumSize = 16

// Print is the fingerprint by which every VM recognizes a request that is sent again. It covers
// what determines the upstream's behavior, and nothing that changes with each attempt.
type Print struct {
	// Head is a hash of everything but the body. It is cheap, and rules out most requests
	// by itself.
	Head uint64
	// Sum is a cryptographic hash of everything.
	Sum [sumSize]byte
}

// Bytes returns the encoding of the print that VMs exchange.
func (p Print) Bytes() []byte { return append(binary.BigEndian.AppendUint64(nil, p.Head), p.Sum[:]...) }

func (p Print) compare(other Print) int { return bytes.Compare(p.Bytes(), other.Bytes()) }

// String returns the print in hexadecimal, as in logs and in the platform's table.
func (p Print) String() string { return hex.EncodeToString(p.Bytes()) }

// ParsePrint parses the result of String. ok is false if the text is not a print.
func ParsePrint(text string) (p Print, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Print{}, false
	}
	return PrintFromBytes(data)
}

// PrintFromBytes decodes the result of Bytes. ok is false if the data is not a print.
func PrintFromBytes(data []byte) (p Print, ok bool) {
	if len(data) != 8+sumSize {
		return Print{}, false
	}
	p.Head = binary.BigEndian.Uint64(data)
	copy(p.Sum[:], data[8:])
	return p, true
}

// Content is what a request's print covers.
type Content struct {
	// Method, Host and URI are those of the request; Caller identifies its sender.
	Method, Host, URI, Caller string
	// Body is the part of the body that is buffered before the request is forwarded. Two
	// requests that differ only after that have the same print. The declared length is not
	// covered: the same body may come with a Content-Length or in chunks.
	Body []byte
}

// Head returns the hash of everything but the body.
func (c *Content) Head() uint64 {
	h := xxhash.New()
	c.writeHead(h)
	return h.Sum64()
}

// Print returns the request's print.
func (c *Content) Print() Print {
	h := sha256.New()
	c.writeHead(h)
	h.Write(c.Body)
	p := Print{Head: c.Head()}
	copy(p.Sum[:], h.Sum(nil))
	return p
}

// writeHead writes each field with its length, so that no two lists of fields have the same
// encoding.
func (c *Content) writeHead(h hash.Hash) {
	for _, field := range [...]string{c.Method, c.Host, c.URI, c.Caller} {
		// A hash.Hash never returns an error.
		_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
}
