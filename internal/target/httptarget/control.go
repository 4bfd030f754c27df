package httptarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/target"
)

// Order implements target.Orderer.
func (c *Client) Order(ctx context.Context, address string, order target.Order) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return merry.Wrap(target.ErrNotSent, merry.WithCause(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(target.ErrNotSent, merry.WithCause(err))
	}
	resp, err := send(c.once, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return orderStatusError(resp)
}

func orderStatusError(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return merry.Wrap(target.ErrFenced)
	case resp.StatusCode >= 400 && resp.StatusCode < 500, resp.StatusCode == http.StatusInsufficientStorage:
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return rejected(resp, string(body))
	}
	return merry.Wrap(target.ErrOutcomeUnknown, merry.AppendMessagef("status %d", resp.StatusCode))
}

// Report implements target.Reporter.
func (c *Client) Report(ctx context.Context, address string) (target.Report, error) {
	var report target.Report
	err := c.getJSON(ctx, "http://"+address+ReportPath, &report)
	return report, err
}

// CacheEvents implements target.Reporter.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]target.CacheEvent, error) {
	var list CacheEventList
	u := "http://" + address + CacheEventsPath + "?after=" + strconv.FormatUint(after, 10)
	err := c.getJSON(ctx, u, &list)
	return list.Events, err
}

func (c *Client) getJSON(ctx context.Context, u string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return merry.Wrap(target.ErrNotSent, merry.WithCause(err))
	}
	resp, err := send(c.pooled, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return merry.Wrap(target.ErrOutcomeUnknown, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(out)
	if err != nil {
		return merry.Wrap(target.ErrTruncated, merry.WithCause(err))
	}
	return nil
}
