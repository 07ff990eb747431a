// Package control provides the HTTP control API through which tests and
// operators set the faults of an emulator and read its counters.
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
	// maxBodyBytes is the maximum size of a control request body.
	maxBodyBytes = 16 << 20
	// headerTimeout is the maximum time to read a request header.
	headerTimeout = 10 * time.Second
)

// FaultInjector is an emulator with faults of type F and counters of type C.
type FaultInjector[F, C any] interface {
	// SetFaults replaces all faults.
	SetFaults(F) error
	// Faults returns the active faults.
	Faults() F
	// Counts returns the counters since the start of the emulator.
	Counts() C
}

// NewHandler returns a router that serves POST and GET /control and
// GET /counts for an emulator. Messages with unknown fields are rejected.
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

// DecodeJSON decodes a JSON request body and rejects unknown fields.
func DecodeJSON(w http.ResponseWriter, req *http.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	return trace.Wrap(dec.Decode(into))
}

// ReadBody reads the body of a control request, up to maxBodyBytes.
func ReadBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	return body, trace.Wrap(err)
}

// WriteJSON writes message as a JSON response.
func WriteJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(append(body, '\n'))
}

// Serve serves HTTP requests until the listener is closed, in which case it
// returns nil.
func Serve(lis net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	err := server.Serve(lis)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}
