package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"auburnlatch/core/verdict"
	"auburnlatch/schema"
)

// Server serves requests from other VMs.
type Server interface {
	Serve(ctx context.Context, meta Meta, req *http.Request) (*http.Response, error)
}

// Handler returns the HTTP handler of a VM's forward address, to which other VMs
// send requests.
func Handler(s Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		meta, ok := readMeta(r)
		if !ok {
			Refuse(w, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, 0))
			return
		}
		w, r, body := OwnBody(w, r, 0)
		defer body.End()
		ctx, cancel := context.WithDeadline(r.Context(), meta.Deadline)
		defer cancel()
		req := r.WithContext(ctx)
		req.URL.Path = strings.TrimPrefix(req.URL.Path, "/"+meta.Service)
		req.URL.RawPath = strings.TrimPrefix(req.URL.RawPath, "/"+meta.Service)
		StripHopByHop(req.Header)
		StripReserved(req.Header)
		req.Header.Del("Expect")
		resp, err := s.Serve(ctx, meta, req)
		if err != nil {
			Refuse(w, verdict.As(err))
			return
		}
		Relay(w, r, resp)
	})
}

// readMeta reads a request's metadata; it returns false if it is not valid.
func readMeta(r *http.Request) (Meta, bool) {
	timeoutMs, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	m := Meta{
		Service: service, Origin: r.Header.Get(headerOrigin), Mode: Mode(r.Header.Get(headerMode)),
		Deadline: time.Now().Add(time.Duration(timeoutMs) * time.Millisecond), Print: r.Header.Get(headerPrint),
	}
	validMode := m.Mode == Zone || m.Mode == Offer || m.Mode == Queue
	return m, err == nil && validMode && service != ""
}

// statuses gives the HTTP status of each reason; for all others it is 503.
var statuses = map[verdict.Reason]int{
	verdict.ReasonBadRequest:    http.StatusBadRequest,
	verdict.ReasonKeyMissing:    http.StatusBadRequest,
	verdict.ReasonNoService:     http.StatusNotFound,
	verdict.ReasonInProgress:    http.StatusConflict,
	verdict.ReasonKeyReused:     http.StatusUnprocessableEntity,
	verdict.ReasonAnswerNotKept: http.StatusConflict,
	verdict.ReasonTooLarge:      http.StatusRequestEntityTooLarge,
	verdict.ReasonDeadline:      http.StatusGatewayTimeout,
	verdict.ReasonBroken:        http.StatusBadGateway,
}

// Refuse writes the response to a request that is refused or has failed: status,
// verdict, reason, and Retry-After if e has one.
func Refuse(w http.ResponseWriter, e *verdict.Error) {
	status, ok := statuses[e.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	h.Set(headerRefused, "1")
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, string(e.Reason))
	seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
	if seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := protojson.Marshal(&schema.Refusal{
		Verdict: e.Verdict.String(), Reason: string(e.Reason), Message: e.Error(), RetryAfterSeconds: int32(seconds),
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(body)+"\n")
}
