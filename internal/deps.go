//go:build deps

// Package deps keeps the modules that slices in the making need in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/olekukonko/tablewriter"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
