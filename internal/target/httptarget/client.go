// Package httptarget is the HTTP adapter of the target port: OpenAI-compatible
// calls with server-sent events, and a JSON protocol for orders and reports.
package httptarget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/target"
)

const (
	dialTimeout     = time.Second
	controlTimeout  = 2 * time.Second
	idleTimeout     = 60 * time.Second
	maxIdlePerHost  = 256
	maxReplyBytes   = 16 << 20
	maxControlBytes = 4 << 20
	maxErrorBytes   = 64 << 10
)

// Client calls engines and plain services over HTTP. It implements
// target.Engine and target.ServiceCaller.
type Client struct {
	pooled *http.Client
	// once opens a new connection for each call, since http.Transport repeats
	// some requests when a pooled connection turns out to be closed.
	once *http.Client
}

var (
	_ target.Engine        = (*Client)(nil)
	_ target.ServiceCaller = (*Client)(nil)
)

// New returns a client with a connection pool of its own.
func New() *Client {
	return &Client{
		pooled: &http.Client{Transport: newTransport(false), CheckRedirect: keepRedirect},
		once:   &http.Client{Transport: newTransport(true), CheckRedirect: keepRedirect},
	}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
	}
}

// keepRedirect hands redirects to the caller: following one would send the call
// a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Generate implements target.ModelCaller.
func (c *Client) Generate(ctx context.Context, address string, call *target.ModelCall) (target.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := newModelRequest(ctx, address, call)
	if err != nil {
		cancel()
		return nil, merry.Wrap(target.ErrNotSent, merry.WithCause(err))
	}
	resp, err := send(c.pooled, req)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkModelResponse(resp, call.ID); err != nil {
		resp.Body.Close()
		cancel()
		return nil, err
	}
	if call.Stream {
		return newEventStream(call, resp.Body, cancel), nil
	}
	return &wholeAnswer{call: call, body: resp.Body, cancel: cancel}, nil
}

func newModelRequest(ctx context.Context, address string, call *target.ModelCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+modelPath(call.Kind), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.ID)
	if call.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(call.ResumeFrom))
	}
	if call.Priority != 0 {
		req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	if call.TraceParent != "" {
		req.Header.Set(HeaderTraceParent, call.TraceParent)
	}
	return req, nil
}

func modelPath(kind target.Kind) string {
	switch kind {
	case target.KindCompletion:
		return CompletionPath
	case target.KindEmbedding:
		return EmbeddingPath
	}
	return ChatPath
}

func checkModelResponse(resp *http.Response, id string) error {
	if resp.StatusCode != http.StatusOK {
		return modelStatusError(resp)
	}
	if got := resp.Header.Get(HeaderRequestID); got != id {
		return merry.Wrap(target.ErrMismatch, merry.AppendMessagef("header names %q", got))
	}
	return nil
}

func modelStatusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return rejected(resp, string(body))
	case resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusConflict:
		// The model is not resident any more, or the stream cannot be resumed.
		return rejected(resp, string(body))
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return &target.InvalidError{Status: resp.StatusCode, Body: body}
	}
	return merry.Wrap(target.ErrOutcomeUnknown, merry.AppendMessagef("status %d", resp.StatusCode))
}

func rejected(resp *http.Response, message string) error {
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &target.RejectedError{
		Status:     resp.StatusCode,
		RetryAfter: time.Duration(seconds) * time.Second,
		Message:    message,
	}
}

// Invoke implements target.ServiceCaller.
func (c *Client) Invoke(ctx context.Context, address string, call *target.ServiceCall) (*target.ServiceReply, error) {
	req, err := newServiceRequest(ctx, address, call)
	if err != nil {
		return nil, merry.Wrap(target.ErrNotSent, merry.WithCause(err))
	}
	client := c.once
	if call.Idempotent {
		client = c.pooled
	}
	resp, err := send(client, req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderNotRun) != "" {
		return nil, rejected(resp, "service did not run the call")
	}
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != call.ID {
		return nil, merry.Wrap(target.ErrMismatch, merry.AppendMessagef("header names %q", got))
	}
	if !hasEnd(resp) {
		return nil, merry.Wrap(target.ErrTruncated, merry.AppendMessage("neither length nor chunks tell the end of the answer"))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, merry.Wrap(target.ErrTruncated, merry.WithCause(err))
	}
	if len(body) > maxReplyBytes {
		return nil, merry.Wrap(target.ErrTruncated, merry.AppendMessage("answer exceeds 16 MiB"))
	}
	return &target.ServiceReply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// hasEnd reports whether a cut of the answer's body would be noticed. A body
// that ends with its connection looks whole wherever it is cut.
func hasEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func newServiceRequest(ctx context.Context, address string, call *target.ServiceCall) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.RawQuery}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, call.ID)
	if call.TraceParent != "" {
		req.Header.Set(HeaderTraceParent, call.TraceParent)
	}
	return req, nil
}

// send turns a transport failure into ErrNotSent if no connection was made and
// into ErrOutcomeUnknown otherwise.
func send(client *http.Client, req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if connected.Load() {
		return nil, merry.Wrap(target.ErrOutcomeUnknown, merry.WithCause(err))
	}
	return nil, merry.Wrap(target.ErrNotSent, merry.WithCause(err))
}

// isDone reports whether err is the end of the caller's own context.
func isDone(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
