package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/keys"
)

// readBody reads the whole body, which must arrive within bodyTimeout.
func readBody(c echo.Context) ([]byte, error) {
	controller := http.NewResponseController(c.Response().Writer)
	// This fails only if the connection supports no deadlines, as in some tests.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes), c.Request().ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalidRequest(http.StatusRequestEntityTooLarge, "body_too_large", "body: exceeds 4 MiB")
	}
	if err != nil {
		return nil, invalidRequest(http.StatusBadRequest, "body_incomplete", "body: could not be read")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// maxPreallocatedBytes bounds the memory that is allocated for a declared
// Content-Length before any of the body has arrived.
const maxPreallocatedBytes = 64 << 10

func readAll(r io.Reader, length int64) ([]byte, error) {
	size := min(max(length, 0), maxPreallocatedBytes)
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}

// fields maps the exact, case-sensitive field names of a JSON object to their
// values. Fields that are not checked here are forwarded unchanged. If a field is
// repeated, only its last value is kept, so the engine sees the value that was
// checked.
type fields map[string]json.RawMessage

func parseFields(body []byte) (fields, error) {
	var f fields
	err := json.Unmarshal(body, &f)
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		return nil, badField("body", "must be a JSON object, not %s", mismatch.Value)
	case err != nil:
		return nil, badField("body", "is no valid JSON: %v", err)
	case f == nil:
		return nil, badField("body", "must be a JSON object")
	}
	return f, nil
}

// decode decodes the field called name into out unless it is missing or null.
func (f fields) decode(name string, out any) error {
	raw, ok := f[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return badField(name, "must be of type %s", jsonType(reflect.TypeOf(out).Elem()))
	}
	return nil
}

func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int64:
		return "integer"
	case reflect.String:
		return "string"
	case reflect.Slice:
		return "array"
	case reflect.Pointer:
		return jsonType(t.Elem())
	}
	return "object"
}

// rejectKeys returns an error if one of the named fields contains a caller's
// key, with or without JSON escapes.
func (f fields) rejectKeys(names ...string) error {
	for _, name := range names {
		raw, ok := f[name]
		if !ok {
			continue
		}
		if keys.HasKey(string(raw)) || keys.HasKey(withoutEscapes(raw)) {
			return badField(name, "must not hold a key")
		}
	}
	return nil
}

func withoutEscapes(raw json.RawMessage) string {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return ""
	}
	plain, _ := json.Marshal(value)
	return string(plain)
}
