// Package settings reads the settings of one instance: JSON with comments,
// checked in full before the instance starts.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// ErrInvalid means that a settings file cannot be used. Its message names the
// file, the line and the field.
var ErrInvalid = merry.Sentinel("settings: invalid")

// Settings of one instance.
type Settings struct {
	// Name of the instance, unique over all instances.
	Name string `json:"name"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Environment is the name of the environment served, for example
	// "production".
	Environment string    `json:"environment"`
	Listen      Listen    `json:"listen"`
	Platform    Platform  `json:"platform"`
	TLS         TLS       `json:"tls"`
	Operators   Operators `json:"operators"`
	Log         Log       `json:"log"`
	Tracing     Tracing   `json:"tracing"`
	Drain       Drain     `json:"drain"`
	Policies    Policies  `json:"policies"`
}

// Listen holds the addresses, each "IP:PORT", on which the instance listens.
type Listen struct {
	// Callers is the address for callers.
	Callers string `json:"callers"`
	// Operators is the address of the operator API, metrics and health.
	Operators string `json:"operators"`
	// Mesh is the address for other instances.
	Mesh string `json:"mesh"`
}

// Platform tells where the object API is.
type Platform struct {
	// URL is the base address, for example "http://10.0.0.1:7000".
	URL string `json:"url"`
}

// TLS names the PEM files of the mesh's mutual TLS.
type TLS struct {
	CAFile          string `json:"ca_file"`
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Operators holds the credentials of operators.
type Operators struct {
	// Credentials lists operators with the SHA-256 of their tokens.
	Credentials []Credential `json:"credentials"`
}

// Credential of one operator.
type Credential struct {
	Operator string `json:"operator"`
	// Role is "read" or "write".
	Role string `json:"role"`
	// TokenSHA256 is the hash of the operator's token in hexadecimal.
	TokenSHA256 string `json:"token_sha256"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
	// Format is "text" or "json".
	Format string `json:"format"`
}

// Tracing configures the export of spans.
type Tracing struct {
	// OTLPEndpoint is the base URL of an OTLP/HTTP collector; empty turns the
	// export off.
	OTLPEndpoint string `json:"otlp_endpoint"`
	// SampleRatio is the share of traces kept, 0 to 1.
	SampleRatio float64 `json:"sample_ratio"`
}

// Drain configures the planned stop.
type Drain struct {
	// ReadinessSeconds is how long /readyz fails before the instance refuses
	// new calls, so that the balancer notices.
	ReadinessSeconds float64 `json:"readiness_seconds"`
	// LimitSeconds ends the wait for running streams; 0 waits without limit.
	LimitSeconds float64 `json:"limit_seconds"`
}

// Policy names a way of deciding.
type Policy string

// Policies to choose from. All but PolicyDefault are baselines for comparisons.
const (
	PolicyDefault Policy = "default"
	// PolicyRoundRobin and PolicyLeastOutstanding are ways of routing.
	PolicyRoundRobin       Policy = "round_robin"
	PolicyLeastOutstanding Policy = "least_outstanding"
	// PolicyStatic keeps models where they are.
	PolicyStatic Policy = "static"
	// PolicyNone turns the queue off.
	PolicyNone Policy = "none"
)

// Policies choose how an instance decides.
type Policies struct {
	Routing   Policy `json:"routing"`
	Placement Policy `json:"placement"`
	Queue     Policy `json:"queue"`
}

// Default returns the settings that a file need not state.
func Default() Settings {
	return Settings{
		Environment: "production",
		Log:         Log{Level: "info", Format: "text"},
		Tracing:     Tracing{SampleRatio: 1},
		Drain:       Drain{ReadinessSeconds: 2},
		Policies:    Policies{Routing: PolicyDefault, Placement: PolicyDefault, Queue: PolicyDefault},
	}
}

// Load reads and checks the file. Its errors wrap ErrInvalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Wrap(ErrInvalid, merry.AppendMessagef("%s: %v", path, err))
	}
	return Parse(path, data)
}

// Parse reads and checks settings. The path appears in errors only.
func Parse(path string, data []byte) (Settings, error) {
	s := Default()
	if err := Decode(path, data, &s); err != nil {
		return Settings{}, err
	}
	for _, p := range s.problems() {
		line := lineOfField(data, p.field)
		return Settings{}, merry.Wrap(ErrInvalid, merry.AppendMessagef("%s:%d: %s: %s", path, line, p.field, p.message))
	}
	return s, nil
}

// Decode reads JSON with comments into a struct and refuses unknown fields. Its
// errors wrap ErrInvalid and name the line; the path appears in them only.
func Decode(path string, data []byte, into any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return merry.Wrap(ErrInvalid, merry.AppendMessagef("%s: %v", path, err))
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(path, standard, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); err == nil {
		line := lineAt(standard, decoder.InputOffset())
		return merry.Wrap(ErrInvalid, merry.AppendMessagef("%s:%d: text after the settings", path, line))
	}
	return nil
}

// problem is one bad value. The field is its path, joined by dots.
type problem struct{ field, message string }

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// problems returns all bad values.
func (s Settings) problems() []problem {
	var out []problem
	check := func(ok bool, field, message string) {
		if !ok {
			out = append(out, problem{field, message})
		}
	}
	check(namePattern.MatchString(s.Name), "name", "must be lower-case letters, digits, dots and hyphens")
	check(namePattern.MatchString(s.Zone), "zone", "must be lower-case letters, digits, dots and hyphens")
	check(namePattern.MatchString(s.Environment), "environment", "must be lower-case letters, digits, dots and hyphens")
	check(IsAddress(s.Listen.Callers), "listen.callers", "must be IP:PORT")
	check(IsAddress(s.Listen.Operators), "listen.operators", "must be IP:PORT")
	check(IsAddress(s.Listen.Mesh), "listen.mesh", "must be IP:PORT")
	check(isURL(s.Platform.URL), "platform.url", "must be an http or https URL")
	check(s.TLS.CAFile != "", "tls.ca_file", "must name a file")
	check(s.TLS.CertificateFile != "", "tls.certificate_file", "must name a file")
	check(s.TLS.KeyFile != "", "tls.key_file", "must name a file")
	check(isOneOf(s.Log.Level, "debug", "info", "warn", "error"), "log.level", "must be debug, info, warn or error")
	check(isOneOf(s.Log.Format, "text", "json"), "log.format", "must be text or json")
	check(s.Tracing.OTLPEndpoint == "" || isURL(s.Tracing.OTLPEndpoint), "tracing.otlp_endpoint", "must be an http or https URL")
	check(s.Tracing.SampleRatio >= 0 && s.Tracing.SampleRatio <= 1, "tracing.sample_ratio", "must be from 0 to 1")
	check(s.Drain.ReadinessSeconds >= 0, "drain.readiness_seconds", "must not be negative")
	check(s.Drain.LimitSeconds >= 0, "drain.limit_seconds", "must not be negative")
	p := s.Policies
	check(isOneOf(p.Routing, PolicyDefault, PolicyRoundRobin, PolicyLeastOutstanding), "policies.routing", "must be default, round_robin or least_outstanding")
	check(isOneOf(p.Placement, PolicyDefault, PolicyStatic), "policies.placement", "must be default or static")
	check(isOneOf(p.Queue, PolicyDefault, PolicyNone), "policies.queue", "must be default or none")
	for _, c := range s.Operators.Credentials {
		check(c.Operator != "", "operators.credentials.operator", "must not be empty")
		check(isOneOf(c.Role, "read", "write"), "operators.credentials.role", "must be read or write")
		check(hashPattern.MatchString(c.TokenSHA256), "operators.credentials.token_sha256", "must be 64 hexadecimal digits")
	}
	return out
}

// IsAddress reports whether a setting is IP:PORT.
func IsAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Host != "" && isOneOf(u.Scheme, "http", "https")
}

func isOneOf[T comparable](value T, allowed ...T) bool {
	return slices.Contains(allowed, value)
}

// decodeError names the line and field of a JSON error.
func decodeError(path string, data []byte, offset int64, err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		line := lineAt(data, mismatch.Offset)
		return merry.Wrap(ErrInvalid, merry.AppendMessagef("%s:%d: %s: must be of type %s, not %s", path, line, mismatch.Field, mismatch.Type, mismatch.Value))
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	message := strings.TrimPrefix(err.Error(), "json: ")
	line := lineAt(data, offset)
	if field, ok := strings.CutPrefix(message, "unknown field "); ok {
		field = strings.Trim(field, `"`)
		line = lineOfField(data, field)
		message = fmt.Sprintf("%s: unknown field", field)
	}
	return merry.Wrap(ErrInvalid, merry.AppendMessagef("%s:%d: %s", path, line, message))
}

func lineAt(data []byte, offset int64) int {
	end := min(int(offset), len(data))
	return 1 + bytes.Count(data[:end], []byte("\n"))
}

// lineOfField returns the line on which the last part of a field's path first
// stands behind its parents, or 1 for a missing field.
func lineOfField(data []byte, field string) int {
	at := 0
	for _, part := range strings.Split(field, ".") {
		i := bytes.Index(data[at:], []byte(`"`+part+`"`))
		if i < 0 {
			break
		}
		at += i
	}
	return lineAt(data, int64(at))
}
