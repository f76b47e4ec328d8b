// Package decoder decodes JSON strictly and reports every validation error with its field path.
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/go-viper/mapstructure/v2"

	"eelgrasspoint"
)

// Decode decodes one JSON object into out, a pointer to a struct. Unknown fields are errors; the
// name of a field must match in case. The error is an *eelgrasspoint.InvalidError.
func Decode(data []byte, out any) error {
	var raw map[string]any
	jsonDecoder := json.NewDecoder(bytes.NewReader(data))
	jsonDecoder.UseNumber()
	if err := jsonDecoder.Decode(&raw); err != nil {
		return invalidError(parseMistake(data, err))
	}
	if _, err := jsonDecoder.Token(); err != io.EOF {
		return invalidError(eelgrasspoint.Mistake{Path: position(data, jsonDecoder.InputOffset()), Message: "unexpected data after the JSON object"})
	}
	fieldDecoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:      out,
		ErrorUnused: true,
		MatchName:   func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.TextUnmarshallerHookFunc(),
			wholeNumber,
		),
	})
	if err != nil {
		return invalidError(eelgrasspoint.Mistake{Message: err.Error()})
	}
	mistakes := fieldMistakes(fieldDecoder.Decode(raw))
	for i := range mistakes {
		mistakes[i].Path = trimTypeName(mistakes[i].Path, out)
	}
	return invalidError(mistakes...)
}

// wholeNumber is a decode hook that turns whole numbers such as 64.0 or 6.4e1 into the form that mapstructure reads as an
// integer. It leaves others as they are.
func wholeNumber(_, to reflect.Type, data any) (any, error) {
	number, isNumber := data.(json.Number)
	if !isNumber || !to.ConvertibleTo(reflect.TypeFor[int64]()) {
		return data, nil
	}
	if value, err := number.Float64(); err == nil && value == math.Trunc(value) && math.Abs(value) <= maxExactInteger {
		return json.Number(strconv.FormatInt(int64(value), 10)), nil
	}
	return data, nil
}

// maxExactInteger is the highest integer up to which a float64 holds all integers.
const maxExactInteger = 1 << 53

// invalidError returns an *eelgrasspoint.InvalidError sorted by path, or nil if there are no mistakes.
func invalidError(mistakes ...eelgrasspoint.Mistake) error {
	if len(mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(mistakes, func(a, b eelgrasspoint.Mistake) int { return strings.Compare(a.Path, b.Path) })
	return &eelgrasspoint.InvalidError{Mistakes: mistakes}
}

// fieldMistakes converts an error of mapstructure, which may be several joined errors, to mistakes:
// one per field, or one without a path if the error names no field.
func fieldMistakes(err error) []eelgrasspoint.Mistake {
	if err == nil {
		return nil
	}
	if joinedError, ok := err.(interface{ Unwrap() []error }); ok { //nolint:errorlint // errors.As would find only the first joined error.
		var mistakes []eelgrasspoint.Mistake
		for _, part := range joinedError.Unwrap() {
			mistakes = append(mistakes, fieldMistakes(part)...)
		}
		return mistakes
	}
	if fieldError, ok := err.(*mapstructure.DecodeError); ok { //nolint:errorlint // Wrapped errors are handled by the recursion below.
		return splitUnknownFields(fieldError.Name(), fieldError.Unwrap().Error())
	}
	if inner := errors.Unwrap(err); inner != nil {
		return fieldMistakes(inner)
	}
	return []eelgrasspoint.Mistake{{Message: err.Error()}}
}

// trimTypeName removes the Go type name that mapstructure puts before the outermost field.
func trimTypeName(path string, out any) string {
	return strings.TrimPrefix(path, reflect.TypeOf(out).Elem().String()+".")
}

// unknownFieldsPrefix is the start of the mapstructure message that lists unknown fields.
const unknownFieldsPrefix = "has invalid keys: "

// splitUnknownFields returns one mistake per unknown field if message lists unknown fields, and
// otherwise message as the only mistake.
func splitUnknownFields(path, message string) []eelgrasspoint.Mistake {
	names, found := strings.CutPrefix(message, unknownFieldsPrefix)
	if !found {
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

// parseMistake converts an error of encoding/json to a mistake whose path is a line and column.
func parseMistake(data []byte, err error) eelgrasspoint.Mistake {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		return eelgrasspoint.Mistake{Path: position(data, syntaxError.Offset), Message: syntaxError.Error()}
	case errors.As(err, &typeError):
		return eelgrasspoint.Mistake{Path: position(data, typeError.Offset), Message: "expected a JSON object"}
	default:
		return eelgrasspoint.Mistake{Path: position(data, int64(len(data))), Message: err.Error()}
	}
}

// position formats the place after the first offset bytes as line and column, both counted from 1.
// The offset of an encoding/json error includes the offending byte, so that the column is that of
// the next byte. Columns count bytes.
func position(data []byte, offset int64) string {
	before := data[:min(int(offset), len(data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}
