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

// Registrar is an http.Handler: PUT announces or renews, DELETE leaves.
type Registrar struct {
	announce func(*eelgrasspoint.BackendServer)
	recorder eelgrasspoint.Recorder
}

// announcement is the body of a PUT.
type announcement struct {
	Service     string
	Address     netip.AddrPort
	Incarnation uint64
	Slots       uint32
	Connections uint32
	Draining    bool
}

// Bounds of an announcement.
const (
	maxBodyBytes   = 4096
	maxSlots       = 10000
	maxConnections = 100000
)

// New returns a registrar that passes on each announcement; nil means that the backend server left.
func New(announce func(*eelgrasspoint.BackendServer), recorder eelgrasspoint.Recorder) *Registrar {
	return &Registrar{announce: announce, recorder: recorder}
}

// ServeHTTP implements http.Handler.
func (a *Registrar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.put(w, r)
	case http.MethodDelete:
		a.announce(nil)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (a *Registrar) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		a.refuse(w, eelgrasspoint.Mistakes(err))
		return
	}
	backend, mistakes := Parse(body)
	if len(mistakes) > 0 {
		a.refuse(w, mistakes)
		return
	}
	a.announce(backend)
	w.WriteHeader(http.StatusNoContent)
}

func (a *Registrar) refuse(w http.ResponseWriter, mistakes []eelgrasspoint.Mistake) {
	a.recorder.Record(eelgrasspoint.Event{
		Number: eelgrasspoint.EventBadInput, Detail: (&eelgrasspoint.InvalidError{Mistakes: mistakes}).Error(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(struct{ Mistakes []eelgrasspoint.Mistake }{mistakes})
}

// Parse reads an announcement and returns every mistake in it.
func Parse(body []byte) (*eelgrasspoint.BackendServer, []eelgrasspoint.Mistake) {
	a := announcement{Slots: eelgrasspoint.DefaultSlots, Connections: eelgrasspoint.DefaultConnections}
	if err := decoder.Decode(body, &a); err != nil {
		return nil, eelgrasspoint.Mistakes(err)
	}
	mistakes := a.check()
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return &eelgrasspoint.BackendServer{
		Service: a.Service, Address: a.Address, Incarnation: a.Incarnation,
		Slots: a.Slots, Connections: a.Connections, Draining: a.Draining,
	}, nil
}

func (a *announcement) check() []eelgrasspoint.Mistake {
	var mistakes []eelgrasspoint.Mistake
	add := func(path, message string) {
		mistakes = append(mistakes, eelgrasspoint.Mistake{Path: path, Message: message})
	}
	if message := validator.ValidateName(a.Service); message != "" {
		add("Service", message)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 {
		add("Address", "is required, as an IP number and port")
	}
	if a.Slots == 0 || a.Slots > maxSlots {
		add("Slots", "must be between 1 and 10000")
	}
	if a.Connections == 0 || a.Connections > maxConnections {
		add("Connections", "must be between 1 and 100000")
	}
	return mistakes
}
