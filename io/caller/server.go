package caller

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/claim"
	"auburnlatch/core/inventory"
	"auburnlatch/core/steer"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/platform"
	"auburnlatch/io/route"
)

// retryAfter is the Retry-After of a VM that cannot take a request now.
const retryAfter = time.Second

// Router sends a caller's request to an upstream.
type Router interface {
	Route(ctx context.Context, req *route.Request) (*http.Response, error)
	// Late returns the refusal of a request that could not end before a VM that is stopped does, or
	// nil.
	Late(now time.Time, req *route.Request) error
}

// Register gives the server its view of the inventory and the VM's state.
type Register interface {
	// Lookups returns the look-up answers in use.
	Lookups() *steer.Lookups
	// Service returns the service with a name, nil if there is none.
	Service(name string) *inventory.Service
	// Ready reports whether the VM can take requests.
	Ready() bool
}

// Config configures a Server.
type Config struct {
	Holder          claim.Holder  // Holds the server's claims.
	LookupTTL       time.Duration // How long callers may use a look-up's answer.
	MaxInFlight     int           // Requests; more are refused.
	MaxBodyBytes    int64         // Of a request.
	MaxStoredAnswer int64         // Bytes; a longer response is not stored.
}

// Server serves callers.
type Server struct {
	cfg      Config
	router   Router
	claims   *platform.Claims
	register Register
	log      *logrus.Entry

	inFlight atomic.Int64
	refusing atomic.Bool
	settling sync.WaitGroup
	open     openClaims
	answers  answerCache

	work    context.Context // Canceled when the VM's work ends.
	endWork context.CancelFunc
}

// New returns a server.
func New(cfg Config, router Router, claims *platform.Claims, register Register, log *logrus.Entry) *Server {
	s := &Server{cfg: cfg, router: router, claims: claims, register: register, log: log}
	s.work, s.endWork = context.WithCancel(context.Background())
	return s
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// OpenClaims returns the claims that are not settled yet, sorted by attempt ID.
func (s *Server) OpenClaims() []platform.ListedClaim { return s.open.list() }

// Refuse makes the server refuse new requests, when the VM leaves. Requests in
// flight are served to their end.
func (s *Server) Refuse() { s.refusing.Store(true) }

// EndWork gives the requests in flight final responses. Their callers could not tell otherwise
// whether they have run.
func (s *Server) EndWork() { s.endWork() }

// Settled waits until the rows of all claims are settled, or returns ctx's error
// when ctx ends: rows cannot be settled while the platform is unavailable. Such
// rows stay Claimed: retries are refused with MaybeRan until an operator resolves
// the claim.
func (s *Server) Settled(ctx context.Context) error {
	done := make(chan struct{})
	w := &settleWaiter{server: s, done: done}
	go w.run()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settleWaiter closes done when all rows are settled.
type settleWaiter struct {
	server *Server
	done   chan struct{}
}

// run waits for all rows and closes done.
func (w *settleWaiter) run() {
	w.server.settling.Wait()
	w.server.claims.Wait()
	close(w.done)
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/auburnlatch/lookup", s.lookup)
	e.GET("/auburnlatch/ready", s.ready)
	e.Any("/*", s.request)
	return e
}

// ready responds with 200 if the VM takes requests.
func (s *Server) ready(c echo.Context) error {
	if !s.register.Ready() || s.refusing.Load() {
		forward.Refuse(c.Response(), verdict.New(verdict.NotRun, verdict.ReasonNotReady, retryAfter))
		return nil
	}
	return c.String(http.StatusOK, "ready\n")
}

// request serves one request to a service.
func (s *Server) request(c echo.Context) error {
	w, r, body := forward.OwnBody(c.Response(), c.Request(), readTimeout)
	defer body.End()
	if n := s.inFlight.Add(1); n > int64(s.cfg.MaxInFlight) {
		s.inFlight.Add(-1)
		s.refuse(w, r, verdict.New(verdict.NotRun, verdict.ReasonBusy, retryAfter))
		return nil
	}
	defer s.inFlight.Add(-1)
	if s.refusing.Load() {
		s.refuse(w, r, verdict.New(verdict.NotRun, verdict.ReasonLeaving, retryAfter))
		return nil
	}
	req, key, err := s.parse(w, r)
	if err != nil {
		s.refuse(w, r, verdict.As(err))
		return nil
	}
	if err := s.router.Late(time.Now(), req); err != nil {
		s.refuse(w, r, verdict.As(err))
		return nil
	}
	if key != nil {
		s.keyedRequest(w, req, *key)
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	resp, err := s.route(ctx, cancel, req)
	if err != nil {
		s.refuse(w, r, verdict.As(err))
		return nil
	}
	forward.Relay(w, r, resp)
	return nil
}

// route sends a request on. Its context is canceled if the VM's work ends before it has a response.
func (s *Server) route(ctx context.Context, cancel context.CancelFunc, req *route.Request) (*http.Response, error) {
	release := context.AfterFunc(s.work, cancel)
	defer release()
	resp, err := s.router.Route(ctx, req)
	if err == nil || s.work.Err() == nil {
		return resp, err
	}
	e := verdict.As(err)
	switch {
	case e.Reason != verdict.ReasonCanceled:
		return nil, err
	case e.Verdict == verdict.NotRun:
		return nil, verdict.Wrap(e, verdict.NotRun, verdict.ReasonLeaving, retryAfter)
	default:
		return nil, verdict.Wrap(e, e.Verdict, verdict.ReasonBroken, 0)
	}
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, e *verdict.Error) {
	s.log.WithFields(logrus.Fields{
		"Verdict": e.Verdict, "Reason": e.Reason, "Method": r.Method, "Path": r.URL.Path, "Err": e.Err,
	}).Info("RequestRefused")
	if e.Reason == verdict.ReasonLeaving {
		w.Header().Set("Connection", "close")
	}
	// The body may be unread. net/http then reads the rest, so that it is not
	// taken for the next request, or closes the connection if the rest is long.
	forward.Refuse(w, e)
}

// remoteAddr returns the address of the client, the zero Addr if it is not known.
func remoteAddr(r *http.Request) netip.Addr {
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}

// splitService splits a path into the service and the path within it.
func splitService(path string) (service, rest string) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service, "/" + rest
}
