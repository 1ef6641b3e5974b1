package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/claim"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/route"
)

const (
	// maxTableBody is the size in bytes of the largest response body that is stored
	// in the claims table itself; larger ones go to the object store.
	maxTableBody = 32 << 10
	// storeTimeout bounds the writing of one body to the object store.
	storeTimeout = 30 * time.Second
	// The back-off between attempts to settle a row doubles from
	// minSettleBackoff to maxSettleBackoff.
	minSettleBackoff = 100 * time.Millisecond
	maxSettleBackoff = 5 * time.Second
)

// keyedRequest serves a request that must not run twice.
//
// Its context is not canceled when the caller leaves: once claimed, the request
// runs to its end and its response is stored, for the caller's retry.
func (s *Server) keyedRequest(w http.ResponseWriter, req *route.Request, key claim.Key) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.HTTP.Context()), req.Deadline)
	defer cancel()
	now := time.Now()
	if !s.claims.Allow(now) {
		s.refuse(w, req.HTTP, verdict.New(verdict.NotRun, verdict.ReasonPlatform, claim.DefaultRetryAfter))
		return
	}
	a := claim.New(key, newID(), requestDigest(req), s.cfg.Holder, req.Deadline)
	act := a.Start(now)
	for act.Kind == claim.Write && act.Err == nil {
		act = a.Written(time.Now(), s.claims.Write(ctx, key, act))
	}
	switch act.Kind {
	case claim.Write:
		s.settle(a, act)
		s.refuse(w, req.HTTP, act.Err)
	case claim.Refuse:
		s.refuse(w, req.HTTP, act.Err)
	case claim.Replay:
		s.replay(ctx, w, req, act.Answer)
	case claim.Dispatch:
		s.dispatch(ctx, cancel, w, req, a)
	}
}

// dispatch sends a claimed request to an upstream and settles its row.
func (s *Server) dispatch(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, req *route.Request, a *claim.Attempt) {
	s.open.add(a)
	resp, err := s.route(ctx, cancel, req)
	if err != nil {
		s.settle(a, a.Finish(time.Now(), nil, err))
		s.refuse(w, req.HTTP, verdict.As(err))
		return
	}
	body := &capture{ReadCloser: resp.Body, limit: s.cfg.MaxStoredAnswer}
	header := resp.Header.Clone()
	forward.StripHopByHop(header)
	resp.Body = body
	defer func() {
		// If the caller has left, the rest of the response is read all the
		// same, so that it can be stored.
		_, _ = io.Copy(io.Discard, body)
		body.ReadCloser.Close()
		s.finish(a, resp.StatusCode, header, body)
	}()
	forward.Relay(w, req.HTTP, &http.Response{
		StatusCode: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, Body: io.NopCloser(body),
	})
}

// finish stores the response, if it was read completely, and settles the row.
func (s *Server) finish(a *claim.Attempt, status int, header http.Header, body *capture) {
	if !body.complete {
		s.settle(a, a.Finish(time.Now(), nil, verdict.New(verdict.Ran, verdict.ReasonBroken, 0)))
		return
	}
	answer := &claim.Answer{Status: status, TooLarge: body.overflow}
	if !body.overflow {
		for _, name := range slices.Sorted(maps.Keys(header)) {
			answer.Headers = append(answer.Headers, claim.Header{Name: name, Values: header[name]})
		}
		s.storeBody(a, answer, body.data.Bytes())
	}
	s.settle(a, a.Finish(time.Now(), answer, nil))
}

// storeBody puts a body of up to maxTableBody into answer itself, and a larger one
// into the object store. If that fails, answer is marked as too large to be
// replayed: the row must record that the request ran in any case.
func (s *Server) storeBody(a *claim.Attempt, answer *claim.Answer, body []byte) {
	if len(body) <= maxTableBody {
		answer.Body = body
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	name := "answer-" + a.ID
	if err := s.claims.StoreBody(ctx, name, body); err != nil {
		s.log.WithFields(logrus.Fields{"Attempt": a.ID, "Err": err}).Warn("AnswerNotKept")
		answer.TooLarge = true
		return
	}
	answer.Object = name
}

// replay responds with the stored answer of an earlier attempt.
func (s *Server) replay(ctx context.Context, w http.ResponseWriter, req *route.Request, answer *claim.Answer) {
	body, err := s.claims.Answer(ctx, answer)
	if err != nil {
		s.refuse(w, req.HTTP, verdict.Wrap(err, verdict.Ran, verdict.ReasonPlatform, claim.DefaultRetryAfter))
		return
	}
	h := w.Header()
	for _, field := range answer.Headers {
		h[field.Name] = field.Values
	}
	h.Set(forward.HeaderReplayed, "1")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(body)
}

// capture records what is read from a response body, up to limit bytes.
type capture struct {
	io.ReadCloser
	limit    int64
	data     bytes.Buffer // Empty after an overflow.
	overflow bool         // The body is longer than limit.
	complete bool         // The body was read to its end.
}

// Read implements io.Reader.
func (c *capture) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if int64(c.data.Len()+n) > c.limit {
		c.overflow = true
		c.data.Reset()
	}
	if !c.overflow {
		c.data.Write(p[:n])
	}
	if err == io.EOF {
		c.complete = true
	}
	return n, err
}

// settle performs the remaining writes of an attempt's row in the background.
func (s *Server) settle(a *claim.Attempt, act claim.Action) {
	if act.Kind != claim.Write {
		s.open.remove(a)
		return
	}
	s.open.add(a)
	s.settling.Add(1)
	go (&settler{server: s, attempt: a}).run(act)
}

// settler settles the row of one attempt.
type settler struct {
	server  *Server
	attempt *claim.Attempt
}

// run writes until nothing is left to write. It backs off while the platform does
// not answer.
func (t *settler) run(act claim.Action) {
	defer t.server.settling.Done()
	defer t.server.open.remove(t.attempt)
	backoff := minSettleBackoff
	for act.Kind == claim.Write {
		r := t.server.claims.Write(context.Background(), t.attempt.Key, act)
		act = t.attempt.Written(time.Now(), r)
		if r.Outcome == claim.Unknown || r.Outcome == claim.NotSent {
			time.Sleep(backoff)
			backoff = min(2*backoff, maxSettleBackoff)
		}
	}
}

// newID returns a random 128-bit ID, in hex.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
