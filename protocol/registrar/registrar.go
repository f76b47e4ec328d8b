// Package registrar accepts the registration of the backend server beside the node, in the project's own
// form. Package platform accepts the announcements in the platform's form.
package registrar

import (
	"context"
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
	announce func(context.Context, eelgrasspoint.Announcement) error
	recorder eelgrasspoint.Recorder
}

// registration is the JSON body of a PUT.
type registration struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
	Slots       uint32
	Connections uint32
	Draining    bool
}

// deregistration is the optional JSON body of a DELETE. Without an incarnation it removes the backend server that the
// node knows.
type deregistration struct{ Incarnation uint64 }

// maxBodyBytes bounds a body.
const maxBodyBytes = 4096

// Bounds of the fields of a registration.
const (
	maxSlots       = 10000
	maxConnections = 100000
)

// New returns a registrar that calls announce with each valid registration or removal. After an error of announce it
// answers 503, which acknowledges nothing. Invalid bodies are recorded as events.
func New(announce func(context.Context, eelgrasspoint.Announcement) error, recorder eelgrasspoint.Recorder) *Registrar {
	return &Registrar{announce: announce, recorder: recorder}
}

// ServeHTTP implements http.Handler.
func (s *Registrar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parse := parseRegistration
	switch r.Method {
	case http.MethodPut:
	case http.MethodDelete:
		parse = parseDeregistration
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.writeMistakes(w, eelgrasspoint.Mistakes(err))
		return
	}
	announcement, mistakes := parse(body)
	if len(mistakes) > 0 {
		s.writeMistakes(w, mistakes)
		return
	}
	if err := s.announce(r.Context(), announcement); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func parseRegistration(body []byte) (eelgrasspoint.Announcement, []eelgrasspoint.Mistake) {
	backend, mistakes := Parse(body)
	if len(mistakes) > 0 {
		return eelgrasspoint.Announcement{}, mistakes
	}
	return eelgrasspoint.Announcement{Incarnation: backend.Incarnation, Backend: backend}, nil
}

func parseDeregistration(body []byte) (eelgrasspoint.Announcement, []eelgrasspoint.Mistake) {
	if len(body) == 0 {
		return eelgrasspoint.Announcement{}, nil
	}
	var d deregistration
	if err := decoder.Decode(body, &d); err != nil {
		return eelgrasspoint.Announcement{}, eelgrasspoint.Mistakes(err)
	}
	return eelgrasspoint.Announcement{Incarnation: d.Incarnation}, nil
}

func (s *Registrar) writeMistakes(w http.ResponseWriter, mistakes []eelgrasspoint.Mistake) {
	s.recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventBadInput, Detail: (&eelgrasspoint.InvalidError{Mistakes: mistakes}).Error(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(struct{ Mistakes []eelgrasspoint.Mistake }{mistakes})
}

// Parse decodes and validates a registration. It returns either the backend server or all mistakes.
func Parse(body []byte) (*eelgrasspoint.BackendServer, []eelgrasspoint.Mistake) {
	r := registration{Slots: eelgrasspoint.DefaultSlots, Connections: eelgrasspoint.DefaultConnections}
	if err := decoder.Decode(body, &r); err != nil {
		return nil, eelgrasspoint.Mistakes(err)
	}
	mistakes := r.validate()
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return &eelgrasspoint.BackendServer{
		Service: r.Service, Address: r.Address, Incarnation: r.Incarnation,
		Slots: r.Slots, Connections: r.Connections, Draining: r.Draining,
	}, nil
}

func (r *registration) validate() []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	add := func(path, message string) {
		mistakes = append(mistakes, eelgrasspoint.Mistake{Path: path, Message: message})
	}
	if message := validator.ValidateName(r.Service); message != "" {
		add("Service", message)
	}
	if !r.Address.IsValid() || r.Address.Port() == 0 {
		add("Address", "must be an IP address and a port other than 0, such as 10.0.0.7:8080")
	}
	if r.Slots == 0 || r.Slots > maxSlots {
		add("Slots", "must be between 1 and 10000")
	}
	if r.Connections == 0 || r.Connections > maxConnections {
		add("Connections", "must be between 1 and 100000")
	}
	return mistakes
}
