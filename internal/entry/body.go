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

// readBody reads the whole body within bodyTimeout.
func readBody(c echo.Context) ([]byte, error) {
	controller := http.NewResponseController(c.Response().Writer)
	// Connections that take no deadline are those of tests.
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

// maxPreallocatedBytes bounds what a stated length alone makes the instance
// allocate.
const maxPreallocatedBytes = 64 << 10

func readAll(r io.Reader, length int64) ([]byte, error) {
	size := min(max(length, 0), maxPreallocatedBytes)
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}

// fields is a JSON object by its members' exact names. Members that are not
// checked here are passed on untouched; of repeated members the last counts,
// here and at the engine.
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

// read decodes the member into out, if it is there and not null.
func (f fields) read(name string, out any) error {
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

// refuseKeys refuses members that hold a caller's key, whatever their escapes.
func (f fields) refuseKeys(names ...string) error {
	for _, name := range names {
		raw, ok := f[name]
		if !ok {
			continue
		}
		if keys.HasKey(string(raw)) || keys.HasKey(unescaped(raw)) {
			return badField(name, "must not hold a key")
		}
	}
	return nil
}

func unescaped(raw json.RawMessage) string {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return ""
	}
	plain, _ := json.Marshal(value)
	return string(plain)
}
