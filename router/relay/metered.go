package relay

import "net/http"

// headerBytes is the usual size of the header of a request or response.
const headerBytes = 500

// meteredWriter is a ResponseWriter that tells the relay's meter what it writes.
type meteredWriter struct {
	ResponseWriter
	relay *Relay
}

// WriteHeader implements ResponseWriter.
func (w *meteredWriter) WriteHeader(status int, header http.Header, length int64) error {
	w.relay.Egress.Add(headerBytes, w.relay.Now())
	return w.ResponseWriter.WriteHeader(status, header, length)
}

// WriteBody implements ResponseWriter.
func (w *meteredWriter) WriteBody(p []byte) error {
	w.relay.Egress.Add(len(p), w.relay.Now())
	return w.ResponseWriter.WriteBody(p)
}
