package environment

import (
	"bytes"
	_ "embed"
	"errors"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// SchemaJSON is the JSON Schema of documents.
//
//go:embed schema.json
var SchemaJSON []byte

const schemaName = "environment.schema.json"

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	resource, err := jsonschema.UnmarshalJSON(bytes.NewReader(SchemaJSON))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, resource); err != nil {
		return nil, err
	}
	return compiler.Compile(schemaName)
})

// checkSchema validates standard JSON against the schema. Its error lists each
// problem with the path of the value.
func checkSchema(data []byte) error {
	schema, err := compiledSchema()
	if err != nil {
		return merry.Prepend(err, "environment: schema")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return merry.Wrap(ErrInvalidDocument, merry.AppendMessage(err.Error()))
	}
	err = schema.Validate(value)
	var failed *jsonschema.ValidationError
	if errors.As(err, &failed) {
		return merry.Wrap(ErrInvalidDocument, merry.AppendMessage(strings.Join(schemaProblems(failed), "; ")))
	}
	return err
}

// schemaProblems returns the messages of the leaves of a validation error, in
// order.
func schemaProblems(e *jsonschema.ValidationError) []string {
	if len(e.Causes) == 0 {
		printer := message.NewPrinter(language.English)
		return []string{"/" + strings.Join(e.InstanceLocation, "/") + ": " + e.ErrorKind.LocalizedString(printer)}
	}
	var out []string
	for _, cause := range e.Causes {
		if _, isReference := cause.ErrorKind.(*kind.Reference); isReference && len(cause.Causes) == 0 {
			continue
		}
		out = append(out, schemaProblems(cause)...)
	}
	return out
}
