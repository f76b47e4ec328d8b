package registrar_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrasspoint"
	"eelgrasspoint/protocol/registrar"
)

func TestParseAppliesDefaultConnections(t *testing.T) {
	backend, mistakes := registrar.Parse([]byte(`{"Service": "bench", "Address": "10.0.0.1:80", "Incarnation": 7, "Slots": 13}`))
	assert.Equal(t, len(mistakes), 0, "%v", mistakes)
	assert.Equal(t, backend.Slots, uint32(13))
	assert.Equal(t, backend.Connections, uint32(256))
}

func TestParseReturnsAllMistakes(t *testing.T) {
	_, mistakes := registrar.Parse([]byte(`{"Service": "no spaces", "Slots": 0, "Connections": 1000000}`))
	paths := make([]string, len(mistakes))
	for i, m := range mistakes {
		paths[i] = m.Path
	}
	assert.Equal(t, strings.Join(paths, " "), "Service Address Slots Connections")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Service": "bench", "Address": "10.0.0.1:80"}`))
	f.Add([]byte(`{"Slots": -1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		backend, mistakes := registrar.Parse(data)
		if (backend == nil) == (len(mistakes) == 0) {
			t.Fatalf("backend server %v, mistakes %v; want exactly one of them", backend, mistakes)
		}
		if backend != nil && (backend.Slots == 0 || !backend.Address.IsValid()) {
			t.Fatalf("accepted %+v without slots or a valid address", backend)
		}
	})
}

// TestDeregistration guards against a deregistration of another incarnation than the one that leaves.
func TestDeregistration(t *testing.T) {
	cases := []struct {
		name, body  string
		status      int
		incarnation uint64
	}{
		{"without a body", "", http.StatusNoContent, 0},
		{"with an incarnation", `{"Incarnation": 7}`, http.StatusNoContent, 7},
		{"with an unknown field", `{"Incarnation": 7, "Id": "a"}`, http.StatusBadRequest, 0},
		{"truncated", `{"Incarnation"`, http.StatusBadRequest, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var announced []eelgrasspoint.Announcement
			handler := registrar.New(func(_ context.Context, a eelgrasspoint.Announcement) error {
				announced = append(announced, a)
				return nil
			}, discardRecorder{})
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/backend-server", strings.NewReader(c.body)))
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, len(announced) == 1, c.status == http.StatusNoContent)
			if len(announced) == 1 {
				assert.DeepEqual(t, announced[0], eelgrasspoint.Announcement{Incarnation: c.incarnation})
			}
		})
	}
}

type discardRecorder struct{}

func (discardRecorder) Record(eelgrasspoint.Event) {}
