// Package decoder reads JSON strictly and lists every mistake with its field path.
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/go-viper/mapstructure/v2"

	"eelgrasspoint"
)

// Decode reads one JSON object into out, a pointer to a struct. The error is an
// *eelgrasspoint.InvalidError.
func Decode(data []byte, out any) error {
	var raw map[string]any
	reader := json.NewDecoder(bytes.NewReader(data))
	reader.UseNumber()
	if err := reader.Decode(&raw); err != nil {
		return invalid(place(data, err))
	}
	if _, err := reader.Token(); err != io.EOF {
		return invalid(eelgrasspoint.Mistake{Path: position(data, reader.InputOffset()), Message: "there is more after the JSON object"})
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:      out,
		ErrorUnused: true,
		MatchName:   func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.TextUnmarshallerHookFunc(),
		),
	})
	if err != nil {
		return invalid(eelgrasspoint.Mistake{Message: err.Error()})
	}
	mistakes := fieldMistakes(decoder.Decode(raw))
	for i := range mistakes {
		mistakes[i].Path = withoutType(mistakes[i].Path, out)
	}
	return invalid(mistakes...)
}

// invalid returns nil if there is no mistake.
func invalid(mistakes ...eelgrasspoint.Mistake) error {
	if len(mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(mistakes, func(a, b eelgrasspoint.Mistake) int { return strings.Compare(a.Path, b.Path) })
	return &eelgrasspoint.InvalidError{Mistakes: mistakes}
}

// fieldMistakes takes apart the joined errors of mapstructure.
func fieldMistakes(err error) []eelgrasspoint.Mistake {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok { //nolint:errorlint // Each part is wanted.
		var mistakes []eelgrasspoint.Mistake
		for _, part := range joined.Unwrap() {
			mistakes = append(mistakes, fieldMistakes(part)...)
		}
		return mistakes
	}
	if field, ok := err.(*mapstructure.DecodeError); ok { //nolint:errorlint // The parts are looked at one by one.
		return describe(field.Name(), field.Unwrap().Error())
	}
	if inner := errors.Unwrap(err); inner != nil {
		return fieldMistakes(inner)
	}
	return []eelgrasspoint.Mistake{{Message: err.Error()}}
}

// withoutType takes off the name of the Go type that mapstructure puts before the outermost field.
func withoutType(path string, out any) string {
	return strings.TrimPrefix(path, reflect.TypeOf(out).Elem().String()+".")
}

// unknownFields begins the message of mapstructure that lists them.
const unknownFields = "has invalid keys: "

func describe(path, message string) []eelgrasspoint.Mistake {
	names, unknown := strings.CutPrefix(message, unknownFields)
	if !unknown {
		return []eelgrasspoint.Mistake{{Path: path, Message: message}}
	}
	var mistakes []eelgrasspoint.Mistake
	for name := range strings.SplitSeq(names, ", ") {
		if path != "" {
			name = path + "." + name
		}
		mistakes = append(mistakes, eelgrasspoint.Mistake{Path: name, Message: "unknown field"})
	}
	return mistakes
}

func place(data []byte, err error) eelgrasspoint.Mistake {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return eelgrasspoint.Mistake{Path: position(data, syntax.Offset), Message: syntax.Error()}
	case errors.As(err, &kind):
		return eelgrasspoint.Mistake{Path: position(data, kind.Offset), Message: "expected a JSON object"}
	default:
		return eelgrasspoint.Mistake{Path: position(data, int64(len(data))), Message: err.Error()}
	}
}

// position names the line and column of an offset.
func position(data []byte, offset int64) string {
	before := data[:min(int(offset), len(data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}
