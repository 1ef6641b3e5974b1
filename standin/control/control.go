// Package control reads and writes the stand-ins' messages as JSON over HTTP.
//
// # Usage
//
//	m := &schema.PlatformFaults{}
//	if control.Read(w, r, m) {
//		control.Write(w, reply)
//	}
package control

import (
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// MaxRequest is the largest body of a request, in bytes.
const MaxRequest = 64 << 20

// Read decodes a request's message into m. If it fails it responds with 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, m proto.Message) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxRequest))
	if err == nil {
		err = protojson.Unmarshal(data, m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write responds with a message.
func Write(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
