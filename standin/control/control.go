// Package control is the HTTP door by which tests and operators set the
// faults of a stand-in and read what it counted.
package control

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
)

const (
	// maxBodyBytes bounds one control message.
	maxBodyBytes = 16 << 20
	// headerTimeout bounds the wait for a request's header.
	headerTimeout = 10 * time.Second
)

// FaultInjector is a stand-in whose faults F are set and whose counts C are read.
type FaultInjector[F, C any] interface {
	// SetFaults replaces all faults.
	SetFaults(F) error
	// Faults returns the faults in force.
	Faults() F
	// Counts returns what was counted since the start.
	Counts() C
}

// NewHandler returns a router with POST and GET /control and GET /counts over
// the subject. A message with unknown fields is refused.
func NewHandler[F, C any](s FaultInjector[F, C]) *httprouter.Router {
	r := httprouter.New()
	r.POST("/control", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var faults F
		err := DecodeJSON(w, req, &faults)
		if err == nil {
			err = s.SetFaults(faults)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, s.Faults())
	})
	r.GET("/control", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		WriteJSON(w, s.Faults())
	})
	r.GET("/counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		WriteJSON(w, s.Counts())
	})
	return r
}

// DecodeJSON reads one JSON message and refuses unknown fields.
func DecodeJSON(w http.ResponseWriter, req *http.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	return trace.Wrap(dec.Decode(into))
}

// ReadBody reads the whole body of a control message.
func ReadBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	return body, trace.Wrap(err)
}

// WriteJSON answers one JSON message.
func WriteJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(append(body, '\n'))
}

// Serve serves a door until the listener is closed, which is no error.
func Serve(lis net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	err := server.Serve(lis)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}
