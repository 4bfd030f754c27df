package passthrough_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/standin/addedtime"
)

// startTargetAndInstance starts a target and an instance in front of it and returns
// their URLs.
func startTargetAndInstance(b *testing.B, kind catalog.Kind, do http.HandlerFunc) (direct, through string) {
	target := httptest.NewServer(&fakeTarget{id: "t", handler: do})
	b.Cleanup(target.Close)
	table, holder := fleet.NewTable(), catalog.NewHolder()
	table.Upsert(fleet.Announcement{ID: "t", Service: "s", Zone: "z", Slots: 64, Address: strings.TrimPrefix(target.URL, "http://")}, time.Now())
	state := &catalog.State{
		Version: 1, KeyOwners: make(map[catalog.KeyHash]int), Services: map[string]*catalog.Service{"s": {Name: "s", MaxConnections: 1000}},
		Routes: []catalog.Route{{Name: "r", Host: "h.example", PathPrefix: "/a/", Kind: kind, Timeout: 5 * time.Second, MaxAttempts: 1, Anonymous: true, Services: []catalog.WeightedService{{Service: "s"}}}},
	}
	state.Index()
	holder.SetIfNewer(state, time.Now())
	front := httptest.NewServer(newServer(holder, table, &fakeResidency{}))
	b.Cleanup(front.Close)
	return target.URL, front.URL
}

// callOnce makes one call and fails the benchmark unless its answer is complete.
func callOnce(b *testing.B, client *http.Client, base string) {
	r, err := http.NewRequest(http.MethodPost, base+"/a/x", strings.NewReader("body"))
	if err != nil {
		b.Error(err)
		return
	}
	r.Host = "h.example"
	r.Header.Set("Id", fmt.Sprint(time.Now().UnixNano()))
	answer, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != http.StatusOK {
		b.Errorf("status %d: %v", answer.StatusCode, err)
	}
}

// BenchmarkAddedTime reports the time that an instance adds to calls, compared with
// direct calls to the target.
func BenchmarkAddedTime(b *testing.B) {
	for _, c := range []struct {
		name string
		kind catalog.Kind
		do   http.HandlerFunc
	}{{"plain", catalog.AtMostOnce, echo}, {"stream of 16", catalog.Stream, events(1, 16, true)}} {
		b.Run(c.name, func(b *testing.B) {
			direct, through := startTargetAndInstance(b, c.kind, c.do)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
			addedtime.Measure(b, direct, through, func(base string) { callOnce(b, client, base) })
		})
	}
}
