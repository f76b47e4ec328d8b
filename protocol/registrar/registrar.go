// Package registrar accepts the registration of the backend server beside the node.
package registrar

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"eelgrasspoint"
	"eelgrasspoint/state/decoder"
	"eelgrasspoint/state/validator"
)

// Registrar is an http.Handler: PUT registers the backend server or renews its registration, DELETE removes
// it.
type Registrar struct {
	announce func(*eelgrasspoint.BackendServer)
	recorder eelgrasspoint.Recorder
}

// announcement is the JSON body of a PUT.
type announcement struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
	Slots       uint32
	Connections uint32
	Draining    bool
}

// maxBodyBytes bounds the body of a PUT.
const maxBodyBytes = 4096

// Bounds of the fields of an announcement.
const (
	maxSlots       = 10000
	maxConnections = 100000
)

// New returns a registrar that calls announce with each valid announcement, and with nil when the backend
// server leaves. Invalid announcements are recorded as events.
func New(announce func(*eelgrasspoint.BackendServer), recorder eelgrasspoint.Recorder) *Registrar {
	return &Registrar{announce: announce, recorder: recorder}
}

// ServeHTTP implements http.Handler.
func (s *Registrar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		s.put(w, r)
	case http.MethodDelete:
		s.announce(nil)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Registrar) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.writeMistakes(w, eelgrasspoint.Mistakes(err))
		return
	}
	backend, mistakes := Parse(body)
	if len(mistakes) > 0 {
		s.writeMistakes(w, mistakes)
		return
	}
	s.announce(backend)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Registrar) writeMistakes(w http.ResponseWriter, mistakes []eelgrasspoint.Mistake) {
	s.recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventBadInput, Detail: (&eelgrasspoint.InvalidError{Mistakes: mistakes}).Error(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(struct{ Mistakes []eelgrasspoint.Mistake }{mistakes})
}

// Parse decodes and validates an announcement. It returns either the backend server or all mistakes.
func Parse(body []byte) (*eelgrasspoint.BackendServer, []eelgrasspoint.Mistake) {
	a := announcement{Slots: eelgrasspoint.DefaultSlots, Connections: eelgrasspoint.DefaultConnections}
	if err := decoder.Decode(body, &a); err != nil {
		return nil, eelgrasspoint.Mistakes(err)
	}
	mistakes := a.validate()
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return &eelgrasspoint.BackendServer{
		Service: a.Service, Address: a.Address, Incarnation: a.Incarnation,
		Slots: a.Slots, Connections: a.Connections, Draining: a.Draining,
	}, nil
}

func (a *announcement) validate() []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	add := func(path, message string) {
		mistakes = append(mistakes, eelgrasspoint.Mistake{Path: path, Message: message})
	}
	if message := validator.ValidateName(a.Service); message != "" {
		add("Service", message)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 {
		add("Address", "must be an IP address and a port other than 0, such as 10.0.0.7:8080")
	}
	if a.Slots == 0 || a.Slots > maxSlots {
		add("Slots", "must be between 1 and 10000")
	}
	if a.Connections == 0 || a.Connections > maxConnections {
		add("Connections", "must be between 1 and 100000")
	}
	return mistakes
}
