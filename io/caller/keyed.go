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
	// maxInTable is the largest answer kept in the table itself.
	maxInTable = 32 << 10
	// storeTimeout bounds the storing of one large answer.
	storeTimeout = 30 * time.Second
	// Waits between tries to settle a row.
	firstSettleWait = 100 * time.Millisecond
	maxSettleWait   = 5 * time.Second
)

// keyed runs a request that must not run twice.
//
// Its context does not end when the caller goes away: once claimed, the
// request is best run to its end and its answer kept, for the caller that
// comes back.
func (s *Server) keyed(w http.ResponseWriter, req *route.Request, key claim.Key) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.HTTP.Context()), req.Deadline)
	defer cancel()
	now := time.Now()
	if !s.claims.Open(now) {
		s.refuse(w, req.HTTP, verdict.New(verdict.NotRun, verdict.ReasonPlatform, claim.DefaultRetryAfter))
		return
	}
	a := claim.New(key, newID(), digestOf(req), s.cfg.Holder, req.Deadline)
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
		s.dispatch(ctx, w, req, a)
	}
}

// dispatch sends a claimed request, once, and settles its row.
func (s *Server) dispatch(ctx context.Context, w http.ResponseWriter, req *route.Request, a *claim.Attempt) {
	s.open.add(a)
	resp, err := s.router.Enter(ctx, req)
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
		// The caller may have gone away half-way; the answer is read to its
		// end all the same, to be kept.
		_, _ = io.Copy(io.Discard, body)
		body.ReadCloser.Close()
		s.finish(a, resp.StatusCode, header, body)
	}()
	forward.Relay(w, &http.Response{
		StatusCode: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, Body: io.NopCloser(body),
	})
}

// finish keeps the answer, if it came whole.
func (s *Server) finish(a *claim.Attempt, status int, header http.Header, body *capture) {
	if !body.whole {
		s.settle(a, a.Finish(time.Now(), nil, verdict.New(verdict.Ran, verdict.ReasonBroken, 0)))
		return
	}
	answer := &claim.Answer{Status: status, TooLarge: body.overflow}
	if !body.overflow {
		for _, name := range slices.Sorted(maps.Keys(header)) {
			answer.Headers = append(answer.Headers, claim.Header{Name: name, Values: header[name]})
		}
		s.keep(a, answer, body.data.Bytes())
	}
	s.settle(a, a.Finish(time.Now(), answer, nil))
}

// keep puts the body where its size says. One that cannot be stored is noted
// as not kept: that the request ran must be known all the same.
func (s *Server) keep(a *claim.Attempt, answer *claim.Answer, body []byte) {
	if len(body) <= maxInTable {
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

// capture keeps what is read from a body, up to a limit.
type capture struct {
	io.ReadCloser
	limit    int64
	data     bytes.Buffer
	overflow bool
	whole    bool
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
		c.whole = true
	}
	return n, err
}

// settle carries out the writes that are left for a row, in the background.
func (s *Server) settle(a *claim.Attempt, act claim.Action) {
	if act.Kind != claim.Write {
		s.open.remove(a)
		return
	}
	s.open.add(a)
	s.settling.Add(1)
	go (&settler{server: s, attempt: a}).run(act)
}

// settler brings one attempt to its end.
type settler struct {
	server  *Server
	attempt *claim.Attempt
}

// run writes until nothing is left to write. While the platform is away it
// asks less and less often.
func (t *settler) run(act claim.Action) {
	defer t.server.settling.Done()
	defer t.server.open.remove(t.attempt)
	wait := firstSettleWait
	for act.Kind == claim.Write {
		r := t.server.claims.Write(context.Background(), t.attempt.Key, act)
		act = t.attempt.Written(time.Now(), r)
		if r.Outcome == claim.Unknown || r.Outcome == claim.NotSent {
			time.Sleep(wait)
			wait = min(2*wait, maxSettleWait)
		}
	}
}

// newID returns an ID that was never used before.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
