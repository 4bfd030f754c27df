// Package settings reads the settings file of an instance, which is JSON with
// comments. All settings are validated before the instance starts.
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

// ErrInvalid means that a settings file cannot be used. The message names the
// file, and the line and the field where they are known.
var ErrInvalid = merry.Sentinel("settings: invalid")

// Settings holds the settings of one instance.
type Settings struct {
	// Name identifies the instance and is unique among all instances.
	Name string `json:"name"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Environment is the name of the environment that the instance serves, for
	// example "production".
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

// Listen holds the addresses on which the instance listens, each as "IP:PORT".
type Listen struct {
	// Callers is the address for callers.
	Callers string `json:"callers"`
	// Operators is the address of the operator API, metrics and health.
	Operators string `json:"operators"`
	// Mesh is the address for connections from other instances.
	Mesh string `json:"mesh"`
}

// Platform configures access to the platform's API.
type Platform struct {
	// URL is the base address, for example "http://10.0.0.1:7000".
	URL string `json:"url"`
}

// TLS names the PEM files for mutual TLS between instances.
type TLS struct {
	CAFile          string `json:"ca_file"`
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
}

// Operators holds the credentials of operators.
type Operators struct {
	// Credentials lists the operators with the SHA-256 hashes of their tokens.
	Credentials []Credential `json:"credentials"`
}

// Credential is the role and the token hash of one operator.
type Credential struct {
	Operator string `json:"operator"`
	// Role is "read" or "write".
	Role string `json:"role"`
	// TokenSHA256 is the SHA-256 hash of the operator's token in lower-case
	// hexadecimal.
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
	// OTLPEndpoint is the base URL of an OTLP/HTTP collector. Spans are not
	// exported if it is empty.
	OTLPEndpoint string `json:"otlp_endpoint"`
	// SampleRatio is the fraction of traces that are sampled, from 0 to 1.
	SampleRatio float64 `json:"sample_ratio"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// ReadinessSeconds is the minimum time for which /readyz fails before the
	// instance refuses new calls, so that the load balancer stops sending them.
	ReadinessSeconds float64 `json:"readiness_seconds"`
	// LimitSeconds bounds the wait for calls in flight. The wait has no limit if
	// it is 0.
	LimitSeconds float64 `json:"limit_seconds"`
}

// Policy is the name of a routing, placement or queueing policy.
type Policy string

// Available policies. All except PolicyDefault are baselines for comparisons.
const (
	PolicyDefault Policy = "default"
	// PolicyRoundRobin and PolicyLeastOutstanding are routing policies.
	PolicyRoundRobin       Policy = "round_robin"
	PolicyLeastOutstanding Policy = "least_outstanding"
	// PolicyStatic is the placement policy that keeps models where they are.
	PolicyStatic Policy = "static"
	// PolicyNone disables the queue.
	PolicyNone Policy = "none"
)

// Policies selects the policies of an instance.
type Policies struct {
	Routing   Policy `json:"routing"`
	Placement Policy `json:"placement"`
	Queue     Policy `json:"queue"`
}

// Default returns the values of settings that a file may omit.
func Default() Settings {
	return Settings{
		Environment: "production",
		Log:         Log{Level: "info", Format: "text"},
		Tracing:     Tracing{SampleRatio: 1},
		Drain:       Drain{ReadinessSeconds: 2},
		Policies:    Policies{Routing: PolicyDefault, Placement: PolicyDefault, Queue: PolicyDefault},
	}
}

// Load reads and validates the settings file. Its errors wrap ErrInvalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Wrap(ErrInvalid, merry.AppendMessagef("%s: %v", path, err))
	}
	return Parse(path, data)
}

// Parse decodes and validates settings and returns the first problem found as an
// error that wraps ErrInvalid. The path is used in errors only.
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

// Decode decodes JSON with comments into a struct and rejects unknown fields. Its
// errors wrap ErrInvalid and name the line. The path is used in errors only.
func Decode(path string, data []byte, into any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		// The message of hujson names the line and column.
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

// problem is an invalid value. The field is its path, joined by dots.
type problem struct{ field, message string }

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// problems returns all invalid values.
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

// IsAddress reports whether s has the form IP:PORT. The port must not be empty and
// is not checked further.
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

// decodeError returns an error that names the line of a JSON error, and the field
// if the error is about one.
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

// lineOfField returns the line of a field, given by its path joined by dots. It
// searches for the name of each element after that of its parent. For a missing
// element it returns the line of the closest parent present, or 1. For a field of
// list entries it returns the line in the first entry that has the field, even if
// another entry is invalid.
func lineOfField(data []byte, field string) int {
	start := 0
	for _, element := range strings.Split(field, ".") {
		i := bytes.Index(data[start:], []byte(`"`+element+`"`))
		if i < 0 {
			break
		}
		start += i
	}
	return lineAt(data, int64(start))
}
