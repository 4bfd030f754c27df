package keys

import (
	"regexp"
	"strings"
)

// keyPattern finds keys of callers in text.
var keyPattern = regexp.MustCompile(`dk_[0-9a-f]{16}_[A-Za-z0-9_-]{20,}`)

// Leaks reports whether text holds what looks like a caller's key.
func Leaks(text string) bool { return keyPattern.MatchString(text) }

// Redact replaces keys of callers in text.
func Redact(text string) string { return keyPattern.ReplaceAllString(text, "[key]") }

// IsCredentialHeader reports whether a header carries credentials of a caller
// and must not reach a target.
func IsCredentialHeader(name string) bool {
	switch strings.ToLower(name) {
	case "authorization", "proxy-authorization", "cookie", "set-cookie", "x-api-key", "api-key":
		return true
	}
	return false
}
