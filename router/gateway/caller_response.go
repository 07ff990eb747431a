package gateway

import (
	"net/http"

	"cuminrock.example/router/callerconn"
	"cuminrock.example/router/relay"
)

// callerResponse is a ResponseWriter that tells the caller's connection whether the
// response is in memory already.
type callerResponse struct {
	relay.ResponseWriter
	conn *callerconn.Conn
}

// WriteHeader implements relay.ResponseWriter.
func (r *callerResponse) WriteHeader(status int, header http.Header, length int64) error {
	if length >= 0 {
		r.conn.SetComplete()
	}
	return r.ResponseWriter.WriteHeader(status, header, length)
}
