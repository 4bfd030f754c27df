package environment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/ansel1/merry/v2"
)

// Difference is one value that differs between two documents. Before and After
// are JSON; either is empty if its document does not have the value.
type Difference struct {
	// Path locates the value, for example "accounts[celula].rate_tokens_per_second".
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the differences between two documents, ordered by path. Items of
// lists are matched by name or, without a name, by index.
func Diff(before, after *Document) ([]Difference, error) {
	a, err := toTree(before)
	if err != nil {
		return nil, err
	}
	b, err := toTree(after)
	if err != nil {
		return nil, err
	}
	return diffValues("", a, b), nil
}

// toTree returns the JSON value tree of a document.
func toTree(d *Document) (any, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, merry.Prepend(err, "environment: diff")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, merry.Prepend(err, "environment: diff")
	}
	return tree, nil
}

// diffValues returns the differences between two JSON values. It compares an absent
// list as an empty one.
func diffValues(path string, a, b any) []Difference {
	if reflect.DeepEqual(a, b) {
		return nil
	}
	aMembers, aOK := members(a)
	bMembers, bOK := members(b)
	if (aOK && bOK) || (a == nil && isList(b)) || (b == nil && isList(a)) {
		return diffMembers(path, aMembers, bMembers)
	}
	return []Difference{{Path: path, Before: render(a), After: render(b)}}
}

func diffMembers(path string, a, b map[string]any) []Difference {
	names := make(map[string]bool, len(a)+len(b))
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	var out []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, diffValues(joinPath(path, name), a[name], b[name])...)
	}
	return out
}

func joinPath(path, name string) string {
	if path == "" || name[0] == '[' {
		return path + name
	}
	return path + "." + name
}

// members returns the members of an object, or the items of a list keyed by name
// or, for items without a name, by index. It reports whether v is one of the two.
func members(v any) (map[string]any, bool) {
	switch v := v.(type) {
	case map[string]any:
		return v, true
	case []any:
		out := make(map[string]any, len(v))
		for i, item := range v {
			out[memberName(i, item)] = item
		}
		return out, true
	}
	return nil, false
}

func isList(v any) bool {
	_, ok := v.([]any)
	return ok
}

func memberName(i int, item any) string {
	if object, ok := item.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			return "[" + name + "]"
		}
	}
	return fmt.Sprintf("[%d]", i)
}

func render(v any) string {
	if v == nil {
		return ""
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
