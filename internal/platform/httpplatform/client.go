// Package httpplatform is the HTTP and JSON adapter of the platform port.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/platform"
)

const (
	defaultTimeout = 2 * time.Second
	// watchSlack is added to the wait of a watch before the call times out.
	watchSlack       = 2 * time.Second
	maxResponseBytes = 64 << 20
	maxIdlePerHost   = 16
)

// Client calls the platform over HTTP. It implements platform.Objects and
// platform.Instances.
type Client struct {
	base    string
	zone    string
	http    *http.Client
	timeout time.Duration
}

var (
	_ platform.Objects   = (*Client)(nil)
	_ platform.Instances = (*Client)(nil)
)

// New returns a client of the platform at base, for example
// "http://127.0.0.1:7000", for an instance in zone. Calls other than watches
// end after two seconds.
func New(base, zone string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost,
		DialContext:         (&net.Dialer{Timeout: defaultTimeout}).DialContext,
	}
	return &Client{base: base, zone: zone, http: &http.Client{Transport: transport}, timeout: defaultTimeout}
}

// Get implements platform.Objects.
func (c *Client) Get(ctx context.Context, key string) (platform.Object, error) {
	var out Object
	err := c.read(ctx, ObjectsPath+"/"+escapeKey(key), nil, c.timeout, &out)
	return platform.Object(out), err
}

// List implements platform.Objects.
func (c *Client) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	var out ObjectList
	err := c.read(ctx, ObjectsPath, url.Values{"prefix": {prefix}}, c.timeout, &out)
	return fromWire(out.Objects), out.Version, err
}

// Changes implements platform.Objects.
func (c *Client) Changes(ctx context.Context, prefix string, after platform.Version, wait time.Duration) ([]platform.Object, platform.Version, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {formatVersion(after)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var out ObjectList
	err := c.read(ctx, ChangesPath, query, wait+watchSlack, &out)
	return fromWire(out.Objects), out.Version, err
}

// Put implements platform.Objects.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Object, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, merry.Wrap(platform.ErrTooLarge)
	}
	var out Object
	err := c.write(ctx, http.MethodPut, key, value, expected, &out)
	if err != nil {
		return platform.Object{}, err
	}
	return platform.Object{Key: key, Value: value, Version: out.Version}, nil
}

// Delete implements platform.Objects.
func (c *Client) Delete(ctx context.Context, key string, expected platform.Version) error {
	return c.write(ctx, http.MethodDelete, key, nil, expected, nil)
}

// Instances implements platform.Instances.
func (c *Client) Instances(ctx context.Context) ([]platform.InstanceRecord, error) {
	var out InstanceList
	err := c.read(ctx, InstancesPath, nil, c.timeout, &out)
	return out.Instances, err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return unavailable(err)
	}
	return c.do(req, out, unavailable)
}

func (c *Client) write(ctx context.Context, method, key string, value []byte, expected platform.Version, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+ObjectsPath+"/"+escapeKey(key), bytes.NewReader(value))
	if err != nil {
		return unavailable(err)
	}
	// A write must not be repeated by the transport when a reused connection
	// fails, since its answer may have been lost after the effect.
	req.GetBody = nil
	req.Header.Set(HeaderExpected, formatVersion(expected))
	return c.do(req, out, classifyWriteError)
}

// do sends the request. classify turns a failure without an answer into an
// error of the platform layer.
func (c *Client) do(req *http.Request, out any, classify func(error) error) error {
	req.Header.Set(HeaderZone, c.zone)
	resp, err := c.http.Do(req)
	if err != nil {
		return classify(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return classify(err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return classify(err)
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return merry.Wrap(platform.ErrNotFound)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return merry.Wrap(platform.ErrConflict)
	case http.StatusTooManyRequests:
		return merry.Wrap(platform.ErrThrottled)
	case http.StatusRequestEntityTooLarge:
		return merry.Wrap(platform.ErrTooLarge)
	case http.StatusServiceUnavailable:
		return merry.Wrap(platform.ErrUnavailable)
	}
	// An unexpected status says nothing of the effect of a write.
	return merry.Wrap(platform.ErrOutcomeUnknown, merry.AppendMessagef("status %d", status))
}

// classifyWriteError separates a failed connection attempt, after which the
// write cannot have taken effect, from every later failure.
func classifyWriteError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unavailable(err)
	}
	return merry.Wrap(platform.ErrOutcomeUnknown, merry.WithCause(err))
}

func unavailable(err error) error {
	return merry.Wrap(platform.ErrUnavailable, merry.WithCause(err))
}

func escapeKey(key string) string {
	return (&url.URL{Path: key}).EscapedPath()
}

func formatVersion(v platform.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}

func fromWire(in []Object) []platform.Object {
	out := make([]platform.Object, 0, len(in))
	for _, o := range in {
		out = append(out, platform.Object(o))
	}
	return out
}
