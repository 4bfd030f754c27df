package keys

import (
	"strings"

	"github.com/dotterellink/dotterellink/internal/redact"
)

// HasKey reports whether text holds what looks like a caller's key.
func HasKey(text string) bool { return redact.HasKey(text) }

// Redact replaces keys of callers in text.
func Redact(text string) string { return redact.Keys(text) }

// IsCredentialHeader reports whether a header carries credentials of a caller
// and must not reach a target.
func IsCredentialHeader(name string) bool {
	switch strings.ToLower(name) {
	case "authorization", "proxy-authorization", "cookie", "set-cookie", "x-api-key", "api-key":
		return true
	}
	return false
}
