package relay

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies requests that are the same but for the attempt: it is a
// hash of their caller, method, host, path with query, and body.
type fingerprint uint64

// String returns the fingerprint as it appears in logs.
func (f fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// fingerprint returns the fingerprint of the request. The caller is the workspace,
// or the key on routes that need none.
func (a *admittedRequest) fingerprint() fingerprint {
	caller := a.Key
	if a.workspace != nil {
		caller = a.workspace.Name
	}
	h := xxhash.New()
	for _, field := range []string{caller, a.Method, a.HostName, a.RequestURI} {
		// Writing to a hash never fails. The length keeps the fields apart.
		_, _ = h.WriteString(strconv.Itoa(len(field)) + ":" + field)
	}
	for _, block := range a.Body {
		_, _ = h.Write(block)
	}
	return fingerprint(h.Sum64())
}
