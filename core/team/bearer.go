package team

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// scheme is the authentication scheme of RFC 6750. It is not case-sensitive.
	scheme = "bearer"
	// maxKeyBytes is the length of the longest key that is accepted.
	maxKeyBytes = 512
	// fingerprintBytes is the number of bytes of a key's hash that are logged.
	fingerprintBytes = 4
)

// Errors of Bearer.
var (
	ErrNoKey        = errors.New("no key")
	ErrMalformedKey = errors.New("credentials are not a single key of the Bearer scheme")
)

// Bearer returns the key of a request, given the values of its Authorization fields,
// according to RFC 6750, section 2.1: one field with the scheme in any case, spaces, and
// a token. Two fields are refused even if they have the same key, as another component
// that parses the request may use the other field.
func Bearer(fields []string) (string, error) {
	if len(fields) == 0 {
		return "", ErrNoKey
	}
	if len(fields) > 1 {
		return "", ErrMalformedKey
	}
	name, rest, found := strings.Cut(strings.Trim(fields[0], " \t"), " ")
	if !found || !strings.EqualFold(name, scheme) {
		return "", ErrMalformedKey
	}
	key := strings.TrimLeft(rest, " ")
	if len(key) > maxKeyBytes || !isToken(key) {
		return "", ErrMalformedKey
	}
	return key, nil
}

// isToken reports whether s is a b64token of RFC 6750.
func isToken(s string) bool {
	body := strings.TrimRight(s, "=")
	if body == "" {
		return false
	}
	for i := range len(body) {
		if !isTokenByte(body[i]) {
			return false
		}
	}
	return true
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	default:
		return strings.IndexByte("-._~+/", c) >= 0
	}
}

// Fingerprint identifies a key in logs, which must not contain the key itself. Two keys of
// the same team rarely have the same fingerprint; among 100,000 keys some do.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}
