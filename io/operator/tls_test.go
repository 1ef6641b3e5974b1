package operator

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"auburnlatch/core/claim"
	"auburnlatch/core/inventory"
	"auburnlatch/io/platform"
	"auburnlatch/io/settings"
	"auburnlatch/schema"
)

// fakeVM is a VM that has only an inventory.
type fakeVM struct{ inv *inventory.Inventory }

func (f *fakeVM) Inventory() *inventory.Inventory { return f.inv }
func (f *fakeVM) Accept(context.Context, inventory.Change, bool) (*inventory.Inventory, error) {
	return f.inv, nil
}
func (f *fakeVM) ChangesAfter(uint64) ([]inventory.Change, bool) { return nil, true }
func (f *fakeVM) Status(time.Time) *schema.Status                { return &schema.Status{} }
func (f *fakeVM) Dump(time.Time) *schema.Dump                    { return &schema.Dump{} }
func (f *fakeVM) Explain(time.Time, netip.Addr, string) *schema.Explanation {
	return &schema.Explanation{}
}
func (f *fakeVM) Claims(context.Context) ([]platform.ListedClaim, error)         { return nil, nil }
func (f *fakeVM) ResolveClaim(context.Context, time.Time, claim.Key, bool) error { return nil }

// authority is a certificate authority that signs certificates for 127.0.0.1 and writes
// them to a directory.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("ca", nil)
	return a
}

func (a *authority) sign(name string, parent *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer := key
	if parent == nil {
		parent = tmpl
	} else {
		signer = a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

func (a *authority) write(file, kind string, der []byte) {
	a.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, file), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) files(name string) *settings.TLS {
	return &settings.TLS{
		CertFile: filepath.Join(a.dir, name+".crt"), KeyFile: filepath.Join(a.dir, name+".key"), ClientCAFile: filepath.Join(a.dir, "ca.crt"),
	}
}

// Guards against clients without a certificate of the operators' authority that can use the
// operators' interface, as others can reach its network too.
func TestClientCertificateIsRequired(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	own.sign("vm", own.cert)
	own.sign("operator", own.cert)
	foreign.sign("stranger", foreign.cert)
	stranger := foreign.files("stranger")
	stranger.ClientCAFile = filepath.Join(own.dir, "ca.crt")

	s, err := NewServer(&fakeVM{&inventory.Inventory{Version: 7}}, own.files("vm"))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Shutdown(t.Context())
	for _, tc := range []struct {
		name string
		tls  *settings.TLS
		ok   bool
	}{
		{"operator", own.files("operator"), true},
		{"stranger", stranger, false},
		{"no TLS", nil, false},
	} {
		c, err := NewClient(l.Addr().String(), tc.tls)
		if err != nil {
			t.Fatal(err)
		}
		inv, err := c.Inventory(context.Background())
		if ok := err == nil && inv.Version == 7; ok != tc.ok {
			t.Errorf("%s: accepted = %t (%v), want %t", tc.name, ok, err, tc.ok)
		}
	}
}
