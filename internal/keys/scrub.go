package keys

import (
	"strings"

	"github.com/dotterellink/dotterellink/internal/redact"
)

// HasKey reports whether text contains something that looks like a caller's key.
func HasKey(text string) bool { return redact.HasKey(text) }

// Redact replaces the callers' keys in text by a placeholder.
func Redact(text string) string { return redact.Keys(text) }

// IsCredentialHeader reports whether the header with this name carries
// credentials of a caller and must not be forwarded to a target.
func IsCredentialHeader(name string) bool {
	switch strings.ToLower(name) {
	case "authorization", "proxy-authorization", "cookie", "set-cookie", "x-api-key", "api-key":
		return true
	}
	return false
}
