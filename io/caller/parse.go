package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/claim"
	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/route"
)

const (
	headerKey = "Idempotency-Key"
	// maxKeyBytes bounds the idempotency key and the caller's name.
	maxKeyBytes = 255
	// readTimeout bounds each read of a request's body: the sender may be slow, but a sender
	// that stops would otherwise hold a slot until the deadline.
	readTimeout = 30 * time.Second
)

// parse checks a request and returns it with the key of its claim. The key is nil
// if the request needs no claim.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*route.Request, *claim.Key, error) {
	if !s.register.Ready() {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, retryAfter)
	}
	name, rest := splitService(r.URL.Path)
	rules := s.register.Service(name)
	if rules == nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonNoService, 0)
	}
	if r.Method == http.MethodConnect || r.ContentLength > s.cfg.MaxBodyBytes {
		reason := verdict.ReasonTooLarge
		if r.Method == http.MethodConnect {
			reason = verdict.ReasonBadRequest
		}
		return nil, nil, verdict.New(verdict.NotRun, reason, 0)
	}
	timeout, err := requestTimeout(r, rules.Timeout)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	req := &route.Request{
		Service: name, Origin: s.originZone(r), Deadline: now.Add(timeout), HTTP: r,
		Idempotent: slices.Contains(rules.IdempotentMethods, r.Method),
	}
	if r.ContentLength != 0 {
		req.BodySince = now
	}
	if err := s.router.Late(now, req); err != nil {
		return nil, nil, err
	}
	var key *claim.Key
	if !req.Idempotent {
		if key, err = claimKey(r, name, rules.KeyOptional); err != nil {
			return nil, nil, err
		}
	}
	if err := s.setHTTP(w, r, req, rest); err != nil {
		return nil, nil, err
	}
	return req, key, nil
}

// setHTTP sets the parts of req that go to the upstream. rest is the path within
// the service.
func (s *Server) setHTTP(w http.ResponseWriter, r *http.Request, req *route.Request, rest string) error {
	hr := r.Clone(r.Context())
	hr.URL.Path = rest
	if hr.URL.RawPath != "" {
		_, hr.URL.RawPath = splitService(hr.URL.RawPath)
	}
	forward.StripHopByHop(hr.Header)
	forward.StripReserved(hr.Header)
	hr.Header.Del("Expect")
	if r.Body != nil && r.Body != http.NoBody {
		hr.Body = http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes)
	}
	req.HTTP = hr
	body, err := route.ReadBody(hr)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, 0)
	}
	req.Body = body
	if body.Whole() {
		req.BodyUntil = time.Now()
	}
	req.Identity = poison.NewRequest(poison.Content{
		Method: r.Method, URI: r.URL.RequestURI(), Caller: callerName(r), Body: body.Kept(),
	})
	return nil
}

// requestTimeout returns the timeout that the caller asks for, at most limit.
func requestTimeout(r *http.Request, limit time.Duration) (time.Duration, error) {
	h := r.Header.Get(forward.HeaderTimeout)
	if h == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(h, 10, 64)
	if err != nil || ms <= 0 {
		err := errors.Newf("invalid %s %q: want a positive number of milliseconds", forward.HeaderTimeout, h)
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, 0)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// originZone returns the zone of the caller's place. That is the place that the
// caller names if it exists, else the one that has the caller's address.
func (s *Server) originZone(r *http.Request) string {
	l := s.register.Lookups()
	if name := r.Header.Get(forward.HeaderPlace); name != "" {
		if a := l.Place(name); a != nil {
			return a.Zone
		}
	}
	return l.Lookup(remoteAddr(r)).Zone
}

// claimKey returns the key of the claim of a request that must not run twice. The
// key includes the caller's name: without it, a caller could get the answer to
// another caller's request with the same idempotency key; and with the address in
// its place, a caller whose address changes could run a request twice.
func claimKey(r *http.Request, service string, optional bool) (*claim.Key, error) {
	key := r.Header.Get(headerKey)
	if key == "" && optional {
		return nil, nil
	}
	caller := callerName(r)
	if key == "" || caller == "" || len(key) > maxKeyBytes || len(caller) > maxKeyBytes {
		err := errors.Newf("need %s and either %s or Authorization, of at most %d bytes each", headerKey, forward.HeaderCaller, maxKeyBytes)
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonKeyMissing, 0)
	}
	return &claim.Key{Service: service, Caller: caller, Idempotency: key}, nil
}

// callerName returns a name of the caller that does not depend on its address: the
// one it gives, else a hash of its Authorization field. It is empty if the caller
// has neither.
func callerName(r *http.Request) string {
	caller, auth := r.Header.Get(forward.HeaderCaller), r.Header.Get("Authorization")
	if caller != "" || auth == "" {
		return caller
	}
	sum := sha256.Sum256([]byte(auth))
	return "auth-" + hex.EncodeToString(sum[:])
}

// requestDigest returns the digest by which a retry of the same request is
// recognized. It covers method, URI, content type, length and the buffered
// beginning of the body.
func requestDigest(req *route.Request) string {
	h := sha256.New()
	for _, part := range []string{
		req.HTTP.Method, req.HTTP.URL.RequestURI(), req.HTTP.Header.Get("Content-Type"), strconv.FormatInt(req.HTTP.ContentLength, 10),
	} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.Body.Kept())
	return hex.EncodeToString(h.Sum(nil))
}
