package responseconn

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// headCopies is how often the bytes of a head stand in memory, and lineBytes what each of
	// its lines costs beyond them.
	headCopies, lineBytes = 4, 256
	// freeHeadBytes and freeLines are the bytes and lines of a head that cost nothing.
	freeHeadBytes, freeLines = 4 << 10, 64
)

// ErrNoResponse means that a server sent something that isn't a response by HTTP/1 (RFC 9110
// and RFC 9112).
var ErrNoResponse = errors.New("the server sent no HTTP response")

// errHeadTooLong means that the head of a response exceeds maxHeadBytes.
var errHeadTooLong = fmt.Errorf("%w: its head is longer than %d bytes", ErrNoResponse, maxHeadBytes)

// errNoHeadRoom means that there is no room for a long head.
var errNoHeadRoom = fmt.Errorf("%w: there is no room for its long head", ErrNoResponse)

func malformed(what string, line []byte) error {
	const quoted = 80
	return fmt.Errorf("%w: %s: %q", ErrNoResponse, what, line[:min(len(line), quoted)])
}

// head checks the head of a response line by line, as it arrives. It is stricter than
// net/http, which takes any status from 000 to 999, names with blanks and lines that go on in
// the next one, and ignores fields that contradict each other.
type head struct {
	// checked are the bytes of the lines that are checked, and lines their number.
	checked, lines int
	status         int
	http10         bool
	// chunked is set by a Transfer-Encoding, sized by a Content-Length, which is empty if all
	// of these are 0.
	chunked, sized, empty bool
}

// protocolPrefix is how each response begins.
const protocolPrefix = "HTTP/1."

// scan checks further lines of a head, of which text holds everything received so far. It
// reports whether the head is complete; h.checked is its length then.
func (h *head) scan(text []byte) (complete bool, err error) {
	if h.lines == 0 && !bytes.HasPrefix(text, []byte(protocolPrefix)[:min(len(text), len(protocolPrefix))]) {
		return false, malformed("status line", text)
	}
	for {
		length := bytes.IndexByte(text[h.checked:], '\n')
		if length < 0 {
			break
		}
		line := bytes.TrimSuffix(text[h.checked:h.checked+length], []byte("\r"))
		h.checked += length + 1
		h.lines++
		switch {
		case h.checked > maxHeadBytes:
			return false, errHeadTooLong
		case h.lines == 1:
			err = h.statusLine(line)
		case len(line) == 0:
			return true, h.framing()
		default:
			err = h.field(line)
		}
		if err != nil {
			return false, err
		}
	}
	if len(text) > maxHeadBytes {
		return false, errHeadTooLong
	}
	return false, nil
}

// cost returns the room that a head takes of which a number of bytes was received.
func (h *head) cost(received int) int64 {
	return int64(max(received-freeHeadBytes, 0)*headCopies + max(h.lines-freeLines, 0)*lineBytes)
}

// statusLine checks the first line: HTTP/1.x, a blank, three digits, and perhaps a blank and a
// reason.
func (h *head) statusLine(line []byte) error {
	const minorAt, statusAt, reasonAt = len(protocolPrefix), len(protocolPrefix) + 2, len(protocolPrefix) + 5
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(protocolPrefix)) || !isDigit(line[minorAt]) || line[minorAt+1] != ' ' {
		return malformed("status line", line)
	}
	h.http10 = line[minorAt] == '0'
	for _, digit := range line[statusAt:reasonAt] {
		if !isDigit(digit) {
			return malformed("status line", line)
		}
		h.status = h.status*10 + int(digit-'0')
	}
	reason := line[reasonAt:]
	if len(reason) > 0 && reason[0] != ' ' || !validText(reason) {
		return malformed("status line", line)
	}
	// No request asks for another protocol.
	if !ValidStatus(h.status) && !h.informational() || h.status == http.StatusSwitchingProtocols {
		return malformed("status", line)
	}
	return nil
}

// field checks a line with a field. One that begins with a blank has no valid name: it would
// go on with the value of the line before.
func (h *head) field(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !validName(name) {
		return malformed("field name", line)
	}
	if !validText(value) {
		return malformed("field value", line)
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		h.empty = (!h.sized || h.empty) && string(bytes.TrimSpace(value)) == "0"
		h.sized = true
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.chunked = true
	}
	return nil
}

// framing checks that the fields which tell where the body ends don't contradict each other,
// the protocol or the status.
func (h *head) framing() error {
	switch {
	case h.chunked && (h.sized || h.http10):
		return fmt.Errorf("%w: a Transfer-Encoding with a Content-Length or by HTTP/1.0", ErrNoResponse)
	case h.informational() && (h.chunked || h.sized),
		h.status == http.StatusNoContent && (h.chunked || h.sized && !h.empty):
		return fmt.Errorf("%w: status %d with a body", ErrNoResponse, h.status)
	}
	return nil
}

func (h *head) informational() bool { return h.status >= 100 && h.status < 200 }

// ValidStatus reports whether HTTP knows responses of a status that end an exchange.
func ValidStatus(status int) bool { return status >= 200 && status < 600 }

// ValidHeader reports whether HTTP allows all names and values of a header.
func ValidHeader(header http.Header) bool {
	for name, values := range header {
		if !validName(name) {
			return false
		}
		for _, value := range values {
			if !validText(value) {
				return false
			}
		}
	}
	return true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// validName reports whether a field may have a name.
func validName[T string | []byte](name T) bool {
	for i := range len(name) {
		if !httpguts.IsTokenRune(rune(name[i])) {
			return false
		}
	}
	return len(name) > 0
}

// validText reports whether a value or a reason has no control bytes but tabs.
func validText[T string | []byte](text T) bool {
	const del = 0x7f
	for i := range len(text) {
		if b := text[i]; b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}
