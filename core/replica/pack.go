package replica

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// packThreshold is the size in bytes above which a value is sent compressed.
	// The rules of a few hundred routes are 80 KB, which occupy a link of 10 Mbit/s
	// for a sixteenth of a second. Compressed they are a tenth of that size.
	packThreshold = 4 << 10
	// maxUnpacked is the maximum size of a decompressed value, in bytes.
	maxUnpacked = 16 << 20
)

// pack returns the compressed value, nil if the value is sent as it is. A VM
// compresses what it reads from the platform. Its peers send on the compressed value
// that they received.
func pack(value []byte) []byte {
	if len(value) <= packThreshold {
		return nil
	}
	return Pack(value)
}

// Pack returns a value compressed by DEFLATE, nil for one that is too long for Unpack.
func Pack(value []byte) []byte {
	if len(value) > maxUnpacked {
		return nil
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil // Only an invalid level gives an error.
	}
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return buf.Bytes()
}

// Unpack returns the value that Pack compressed. It returns an error for corrupt data
// and for a value that is too long.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	value, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(value) > maxUnpacked {
		return nil, errors.Newf("unpack: value longer than %d bytes", maxUnpacked)
	}
	return value, nil
}
