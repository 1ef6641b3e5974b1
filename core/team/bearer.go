package team

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// scheme is the authentication scheme of RFC 6750; its case does not count.
	scheme = "bearer"
	// maxKey is the longest key in bytes that is looked at.
	maxKey = 512
	// fingerprintBytes is how much of a key's hash tells it from others in logs.
	fingerprintBytes = 4
)

// Errors of Bearer.
var (
	ErrNoKey  = errors.New("no key")
	ErrNotKey = errors.New("not one key of the Bearer scheme")
)

// Bearer returns the key of a request by the values of its Authorization fields, as
// RFC 6750 (2.1) has it: one field, the scheme in any case, spaces, and a token. Two
// fields are refused, also of the same key: what is behind another reader of the
// request may go by the other one.
func Bearer(fields []string) (string, error) {
	if len(fields) == 0 {
		return "", ErrNoKey
	}
	if len(fields) > 1 {
		return "", ErrNotKey
	}
	name, rest, found := strings.Cut(strings.Trim(fields[0], " \t"), " ")
	if !found || !strings.EqualFold(name, scheme) {
		return "", ErrNotKey
	}
	key := strings.TrimLeft(rest, " ")
	if len(key) > maxKey || !isToken(key) {
		return "", ErrNotKey
	}
	return key, nil
}

// isToken reports whether a text is a b64token of RFC 6750.
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

// Fingerprint tells a key from others where the key itself must not stand, in logs. Two of
// the same team seldom share one; among 100,000 keys some do.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}
