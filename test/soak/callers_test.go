package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dotterellink/dotterellink/internal/call"
	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/platform/platformtest"
)

const (
	callersPerInstance = 4
	// thinkTime is the mean pause of a caller between two calls.
	thinkTime = 60 * time.Millisecond
	patience  = 2500 * time.Millisecond
	// leavingShare is the share of callers that leave before their answer.
	leavingShare = 0.03
	leavesWithin = 200 * time.Millisecond
)

// callOn runs one caller: it keeps its connection until the process is gone.
func (w *world) callOn(n *instance, until context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	for until.Err() == nil {
		w.callOnce(n, client)
		pause.For(until, time.Duration(rand.Int64N(int64(2*thinkTime))))
	}
}

// compose draws a call of any kind.
func (w *world) compose(n *instance) *record {
	s := state(1, "alpha")
	r := &record{instance: n, account: plainAccount, route: &s.Routes[rand.IntN(len(s.Routes))]}
	id := w.name("call")
	r.call = call.Call{
		ID: id, Method: http.MethodPost, URI: r.route.PathPrefix + id, Host: hostName, Key: keys[plainAccount][0],
		Timeout: patience, Body: []byte("asked by " + id),
	}
	switch r.route.PathPrefix {
	case lookPath:
		// The metered account asks for more than its rate.
		r.account, r.call.Key = meteredAccount, keys[meteredAccount][0]
		r.call.HasTokenCounts, r.call.PromptTokens, r.call.MaxOutputTokens = true, meteredCall-10, 10
	case chatPath, resumedPath:
		w.composeStream(r)
	}
	return r
}

// composeStream draws a model, the first ones more often, and the demand moves.
func (w *world) composeStream(r *record) {
	turn := int(time.Since(w.started) / (6 * time.Second))
	index := min(rand.IntN(modelCount), rand.IntN(modelCount))
	r.call.Model = modelName((index + turn) % modelCount)
	if rand.IntN(3) == 0 {
		r.call.Adapter = fmt.Sprintf("a%d", 1+rand.IntN(2))
	}
	r.call.HasTokenCounts, r.call.PromptTokens, r.call.MaxOutputTokens = true, 400, eventsOfStream*5
	r.call.Prefix = []call.PrefixPart{{ID: uint64(index + 1), Tokens: 300}, {ID: rand.Uint64(), Tokens: 100}}
}

func (w *world) callOnce(n *instance, client *http.Client) {
	r := w.compose(n)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := platformtest.NewRequest(ctx, n.settings.Listen.Callers, r.call)
	if err != nil {
		w.breaks("SOAK", "request: %v", err)
		return
	}
	r.sent = time.Now()
	w.book.sent(r)
	if rand.Float64() < leavingShare {
		leave := time.AfterFunc(time.Duration(rand.Int64N(int64(leavesWithin))), func() {
			w.book.mu.Lock()
			r.leftAt = time.Now()
			w.book.mu.Unlock()
			cancel()
		})
		defer leave.Stop()
	}
	answer, err := client.Do(request)
	if err != nil {
		w.finish(r, 0, "", nil, nil, false)
		return
	}
	defer answer.Body.Close()
	if id := platformtest.ResponseCallID(answer.Header); id != r.call.ID {
		w.breaks("MIXED", "call %s got the answer to %q", r.call.ID, id)
	}
	if answer.StatusCode == http.StatusOK && r.route.Kind == catalog.Stream {
		events, whole := readEvents(answer.Body)
		w.finish(r, answer.StatusCode, platformtest.Seal(answer.Header), nil, events, whole)
		return
	}
	body, err := io.ReadAll(answer.Body)
	w.finish(r, answer.StatusCode, platformtest.Seal(answer.Header), body, nil, err == nil)
}

func (w *world) finish(r *record, status int, seal string, body []byte, events []string, whole bool) {
	w.book.mu.Lock()
	defer w.book.mu.Unlock()
	r.status, r.seal, r.body, r.events, r.whole, r.ended = status, seal, body, events, whole, time.Now()
}

// readEvents returns the data of the events of a stream, and whether it ended as
// complete.
func readEvents(body io.Reader) (events []string, whole bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			events = append(events, data)
		}
	}
	return events, lines.Err() == nil
}

// outcome counts the calls sent between two times, and those served.
func (b *book) outcome(from, to time.Time) (asked, served int, refusals map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refusals = make(map[string]int)
	for _, r := range b.records {
		if r.sent.Before(from) || r.sent.After(to) || !r.leftAt.IsZero() || r.account == meteredAccount {
			continue
		}
		asked++
		if r.status == http.StatusOK && r.whole {
			served++
			continue
		}
		refusals[fmt.Sprintf("%s %d %.30s", r.route.Name, r.status, strings.TrimSpace(string(r.body)))]++
	}
	return asked, served, refusals
}
