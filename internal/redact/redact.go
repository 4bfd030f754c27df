// Package redact finds and removes callers' keys in text that leaves the system,
// such as logs. It depends on nothing, so that every part can use it.
package redact

import "regexp"

// keyPattern finds keys of callers in text.
var keyPattern = regexp.MustCompile(`dk_[0-9a-f]{16}_[A-Za-z0-9_-]{20,}`)

// HasKey reports whether text holds what looks like a caller's key.
func HasKey(text string) bool { return keyPattern.MatchString(text) }

// Keys replaces keys of callers in text.
func Keys(text string) string { return keyPattern.ReplaceAllString(text, "[key]") }
