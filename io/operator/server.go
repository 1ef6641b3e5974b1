package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/claim"
	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
	"auburnlatch/io/keepalive"
	"auburnlatch/io/platform"
	"auburnlatch/io/settings"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

const (
	maxBody       = 64 << 20 // Of requests and responses, in bytes.
	headerTimeout = 10 * time.Second
	acceptTimeout = 10 * time.Second
)

// UnservedError reports that a change would leave services without a target in use.
type UnservedError struct {
	Services []string
}

// Error implements error.
func (e *UnservedError) Error() string {
	return "the change leaves some services without a target in use; use insist to make it anyway"
}

// VM is the VM that a Server shows and changes.
type VM interface {
	Inventory() *inventory.Inventory
	// Accept makes a change and returns the new inventory. An error is or wraps
	// inventory.ErrVersion, *inventory.FaultsError, *UnservedError or *verdict.Error.
	// With insist, the change may leave services without a target in use.
	Accept(ctx context.Context, c inventory.Change, insist bool) (*inventory.Inventory, error)
	ChangesAfter(version uint64) ([]inventory.Change, bool)
	Status(now time.Time) *schema.Status
	Dump(now time.Time) *schema.Dump
	Explain(now time.Time, client netip.Addr, service string) *schema.Explanation
	Claims(ctx context.Context) ([]platform.ListedClaim, error)
	ResolveClaim(ctx context.Context, now time.Time, key claim.Key, ran bool) error
}

// Server serves the operators' interface.
type Server struct {
	vm   VM
	http *keepalive.Server
	tls  bool
}

// NewServer returns a Server for vm. If t is nil, it uses no TLS.
func NewServer(vm VM, t *settings.TLS) (*Server, error) {
	s := &Server{vm: vm, tls: t != nil}
	e := echo.New()
	e.GET("/inventory", s.inventory)
	e.POST("/changes", s.change)
	e.GET("/status", func(c echo.Context) error { return reply(c, http.StatusOK, vm.Status(time.Now())) })
	e.GET("/dump", func(c echo.Context) error { return reply(c, http.StatusOK, vm.Dump(time.Now())) })
	e.GET("/explain", s.explain)
	e.GET("/claims", s.claims)
	e.POST("/claims/resolve", s.resolve)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	s.http = &keepalive.Server{HTTP: &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}}
	if t == nil {
		return s, nil
	}
	cfg, err := tlsConfig(t)
	s.http.HTTP.TLSConfig = cfg
	return s, err
}

func tlsConfig(t *settings.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "operator TLS")
	}
	pem, err := os.ReadFile(t.ClientCAFile)
	if err != nil {
		return nil, errors.Wrap(err, "operator TLS")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("operator TLS: %s contains no certificate", t.ClientCAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// Serve accepts connections on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if s.tls {
		return s.http.ServeTLS(l)
	}
	return s.http.Serve(l)
}

// Shutdown waits until operators have the replies to their requests, or until ctx ends. It closes
// what is left then.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) inventory(c echo.Context) error {
	return reply(c, http.StatusOK, wire.FromInventory(s.vm.Inventory()))
}

func (s *Server) change(c echo.Context) error {
	m := &schema.Change{}
	if err := decode(c, m); err != nil {
		return replyError(c, http.StatusBadRequest, err)
	}
	change, err := wire.Change(m)
	if err != nil {
		return replyError(c, http.StatusBadRequest, err)
	}
	if change.ID == "" {
		return replyError(c, http.StatusBadRequest, errors.New("Id is missing"))
	}
	change.At = time.Now()
	ctx, cancel := context.WithTimeout(c.Request().Context(), acceptTimeout)
	defer cancel()
	next, err := s.vm.Accept(ctx, change, c.QueryParam("insist") == "true")
	if err != nil {
		return s.replyChangeError(c, change, err)
	}
	return reply(c, http.StatusOK, &schema.ApplyReply{Version: next.Version, ChangeId: change.ID})
}

// replyChangeError replies with the reason why a change was not accepted: the faults in
// it, or the conflicting changes that others made meanwhile.
func (s *Server) replyChangeError(c echo.Context, change inventory.Change, err error) error {
	m := &schema.OperatorError{Error: err.Error(), Verdict: verdict.NotRun.String()}
	var faults *inventory.FaultsError
	var unserved *UnservedError
	switch {
	case errors.Is(err, inventory.ErrVersion):
		m.Conflict = &schema.Conflict{Version: s.vm.Inventory().Version}
		since, _ := s.vm.ChangesAfter(change.Based)
		for _, other := range since {
			m.Conflict.Since = append(m.Conflict.Since, wire.FromChange(other))
		}
		return reply(c, http.StatusConflict, m)
	case errors.As(err, &faults):
		for _, f := range faults.Faults {
			m.Faults = append(m.Faults, f.String())
		}
		return reply(c, http.StatusUnprocessableEntity, m)
	case errors.As(err, &unserved):
		m.Faults = unserved.Services
		return reply(c, http.StatusUnprocessableEntity, m)
	}
	var v *verdict.Error
	if errors.As(err, &v) {
		m.Verdict = v.Verdict.String()
		return reply(c, http.StatusServiceUnavailable, m)
	}
	return reply(c, http.StatusUnprocessableEntity, m)
}

func (s *Server) explain(c echo.Context) error {
	client, err := netip.ParseAddr(c.QueryParam("client"))
	if err != nil {
		return replyError(c, http.StatusBadRequest, errors.Newf("client: %q is not an IP address", c.QueryParam("client")))
	}
	return reply(c, http.StatusOK, s.vm.Explain(time.Now(), client, c.QueryParam("service")))
}

func (s *Server) claims(c echo.Context) error {
	list, err := s.vm.Claims(c.Request().Context())
	if err != nil {
		return replyError(c, http.StatusServiceUnavailable, err)
	}
	m := &schema.ClaimList{}
	for _, l := range list {
		m.Claims = append(m.Claims, ClaimDump(l))
	}
	return reply(c, http.StatusOK, m)
}

// ClaimDump returns the form of a claim that operators see.
func ClaimDump(l platform.ListedClaim) *schema.ClaimDump {
	return &schema.ClaimDump{
		Service: l.Key.Service, Caller: l.Key.Caller, Key: l.Key.Idempotency, Attempt: l.Row.Attempt,
		State: l.Row.State.String(), Vm: l.Row.Holder.VM, Deadline: wire.FromTime(l.Row.Deadline),
	}
}

func (s *Server) resolve(c echo.Context) error {
	m := &schema.ResolveClaim{}
	if err := decode(c, m); err != nil {
		return replyError(c, http.StatusBadRequest, err)
	}
	key := claim.Key{Service: m.GetService(), Caller: m.GetCaller(), Idempotency: m.GetKey()}
	err := s.vm.ResolveClaim(c.Request().Context(), time.Now(), key, m.GetRan())
	switch {
	case errors.Is(err, platform.ErrNotResolvable):
		return replyError(c, http.StatusConflict, err)
	case err != nil:
		return replyError(c, http.StatusServiceUnavailable, err)
	}
	return reply(c, http.StatusOK, m)
}

// decode decodes the body of a request.
func decode(c echo.Context, m proto.Message) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil {
		return err
	}
	return protojson.Unmarshal(data, m)
}

func reply(c echo.Context, status int, m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	return c.Blob(status, echo.MIMEApplicationJSON, append(data, '\n'))
}

func replyError(c echo.Context, status int, err error) error {
	return reply(c, status, &schema.OperatorError{Error: err.Error(), Verdict: verdict.NotRun.String()})
}
