package translator_test

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/schema"
	"eelgrasspoint/protocol/translator"
)

// TestDocumentKeepsEveryFieldBetweenNodes guards against a node whose fetched configuration differs from the published one.
func TestDocumentKeepsEveryFieldBetweenNodes(t *testing.T) {
	var document, empty eelgrasspoint.Document
	fill(t, reflect.ValueOf(&document).Elem())
	assert.DeepEqual(t, translator.Document(translator.DocumentMessage(&document)), document)
	assert.Equal(t, translatedDigest(t, &document), document.Digest())
	assert.Equal(t, translatedDigest(t, &empty), empty.Digest())
	bare := eelgrasspoint.Document{Routes: []eelgrasspoint.Route{{Name: "r", HomeRegions: []string{}}}}
	assert.Equal(t, translatedDigest(t, &bare), bare.Digest())
}

func translatedDigest(t *testing.T, document *eelgrasspoint.Document) uint64 {
	t.Helper()
	encoded, err := proto.Marshal(translator.DocumentMessage(document))
	assert.NilError(t, err)
	var message schema.Document
	assert.NilError(t, proto.Unmarshal(encoded, &message))
	translated := translator.Document(&message)
	return translated.Digest()
}

// fill sets every field to a value other than zero.
func fill(t *testing.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(3)
	case reflect.Int64:
		v.SetInt(1_234_567_891)
	case reflect.Float64:
		v.SetFloat(37.5)
	default:
		t.Fatalf("no value for fields of the kind %v", v.Kind())
	}
}
