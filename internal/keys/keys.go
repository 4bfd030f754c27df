// Package keys makes and checks callers' keys.
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

// ErrUnauthorized means that no valid key came with a request. It does not tell
// why, so that callers cannot probe for keys.
var ErrUnauthorized = merry.Sentinel("keys: no valid key")

// Form of a key: "dk_" identifier "_" secret.
const (
	prefix      = "dk"
	idBytes     = 8
	secretBytes = 32
)

// unknownHash stands for the hash of a key that does not exist, so that a check
// of it takes as long as any other.
var unknownHash = strings.Repeat("0", hex.EncodedLen(sha256.Size))

// New returns a new key in the form shown to the caller, and its record without
// an account.
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

// Authenticate returns the record of the key that authorization, the value of
// the header of that name, carries. Comparison takes constant time.
func Authenticate(view *environment.View, authorization string) (*environment.Key, error) {
	scheme, key, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil, merry.Wrap(ErrUnauthorized)
	}
	id, secret, ok := split(strings.TrimSpace(key))
	if !ok {
		return nil, merry.Wrap(ErrUnauthorized)
	}
	record := view.Key(id)
	stored := unknownHash
	if record != nil {
		stored = record.SHA256
	}
	same := subtle.ConstantTimeCompare([]byte(hash(secret)), []byte(stored)) == 1
	if !same || record == nil {
		return nil, merry.Wrap(ErrUnauthorized)
	}
	return record, nil
}

func split(key string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(key, prefix+"_")
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "_")
}

// HashToken returns the hash under which an operator's token stands in the
// settings.
func HashToken(token string) string { return hash(token) }
