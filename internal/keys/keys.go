// Package keys generates and verifies the API keys of callers.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
)

// ErrUnauthorized means that a request carries no valid key. It does not say
// what is wrong with the key, so that callers cannot probe for existing keys.
var ErrUnauthorized = merry.Sentinel("keys: no valid key")

// A key has the form "dk_" identifier "_" secret.
const (
	prefix      = "dk"
	idBytes     = 8
	secretBytes = 32
)

// unknownHash takes the place of the stored hash if no key has the given
// identifier, so that the check takes as long as for an existing key.
var unknownHash = strings.Repeat("0", hex.EncodedLen(sha256.Size))

// New returns a new random key as the caller sends it, and its record, in which
// the account is not set.
func New() (string, environment.Key) {
	id := hex.EncodeToString(randomBytes(idBytes))
	secret := base64.RawURLEncoding.EncodeToString(randomBytes(secretBytes))
	return prefix + "_" + id + "_" + secret, environment.Key{ID: id, SHA256: hash(secret)}
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b)
	return b
}

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the record of the key in authorization, the value of an
// Authorization header. It compares hashes in constant time.
func Authenticate(view *environment.View, authorization string) (*environment.Key, error) {
	scheme, key, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil, merry.Wrap(ErrUnauthorized)
	}
	id, secret, ok := parseKey(strings.TrimSpace(key))
	if !ok {
		return nil, merry.Wrap(ErrUnauthorized)
	}
	record := view.Key(id)
	stored := unknownHash
	if record != nil {
		stored = record.SHA256
	}
	matches := subtle.ConstantTimeCompare([]byte(hash(secret)), []byte(stored)) == 1
	if !matches || record == nil {
		return nil, merry.Wrap(ErrUnauthorized)
	}
	return record, nil
}

func parseKey(key string) (id, secret string, ok bool) {
	idAndSecret, ok := strings.CutPrefix(key, prefix+"_")
	if !ok {
		return "", "", false
	}
	return strings.Cut(idAndSecret, "_")
}

// HashToken returns the hash that the settings hold for an operator's token.
func HashToken(token string) string { return hash(token) }
