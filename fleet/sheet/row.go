package sheet

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"cuminrock.example/fleet/config"
)

// sha256Bytes is the length of a SHA-256 hash.
const sha256Bytes = 32

// row is one line of a sheet. Its accessor methods record a fault and return the
// zero value if a field is invalid.
type row struct {
	line   int
	cells  [columnCount]string
	used   [columnCount]bool
	faults *Faults
}

func (r *row) addFault(c column, format string, args ...any) {
	*r.faults = append(*r.faults, Fault{Line: r.line, Column: c.String(), Reason: fmt.Sprintf(format, args...)})
}

func (r *row) empty() bool { return r.cells == [columnCount]string{} }

// text returns the value of a field, which may be empty.
func (r *row) text(c column) string {
	r.used[c] = true
	return r.cells[c]
}

// required returns the value of a field. An empty field is a fault.
func (r *row) required(c column) string {
	text := r.text(c)
	if text == "" {
		r.addFault(c, "must not be empty")
	}
	return text
}

// name returns the value of a field that must hold a valid record name.
func (r *row) name(c column) string {
	name := r.text(c)
	if reason := config.CheckName(name); reason != "" {
		r.addFault(c, "%s", reason)
	}
	return name
}

// optionalName returns a record name, or "" if the field is empty.
func (r *row) optionalName(c column) string {
	if r.text(c) == "" {
		return ""
	}
	return r.name(c)
}

// workspaceOrAll returns a workspace name or AllWorkspaces.
func (r *row) workspaceOrAll(c column) string {
	if r.text(c) == AllWorkspaces {
		return AllWorkspaces
	}
	return r.name(c)
}

// boolean reports whether the field is "yes". An empty field means "no".
func (r *row) boolean(c column) bool {
	switch strings.ToLower(r.text(c)) {
	case "yes":
		return true
	case "no", "":
		return false
	}
	r.addFault(c, "%q must be yes or no", r.cells[c])
	return false
}

// integer returns an integer from low to high. Spaces and underscores between
// digits are allowed.
func (r *row) integer(c column, low, high int64) int64 {
	text := strings.NewReplacer("_", "", " ", "", "\u00a0", "").Replace(r.required(c))
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.addFault(c, "%q is not an integer", r.cells[c])
		return 0
	}
	if n < low || n > high {
		r.addFault(c, "%d is out of range: must be from %d to %s", n, low, formatUpperBound(high))
		return 0
	}
	return n
}

func formatUpperBound(high int64) string {
	if high == math.MaxInt64 {
		return "the largest 64-bit integer"
	}
	return strconv.FormatInt(high, 10)
}

// address returns an IP address and port.
func (r *row) address(c column) string {
	address := r.text(c)
	if reason := config.CheckAddress(address); reason != "" {
		r.addFault(c, "%s", reason)
	}
	return address
}

// keySums returns SHA-256 hashes, written in hexadecimal and separated by spaces.
func (r *row) keySums(c column) [][]byte {
	var sums [][]byte
	for _, text := range strings.Fields(r.required(c)) {
		sum, err := hex.DecodeString(text)
		if err != nil || len(sum) != sha256Bytes {
			r.addFault(c, "%q is not a SHA-256 hash of %d hexadecimal digits", text, 2*sha256Bytes)
			continue
		}
		sums = append(sums, sum)
	}
	return sums
}

// rejectUnusedColumns records a fault for each non-empty field that the kind of
// the record doesn't use.
func (r *row) rejectUnusedColumns(kind string) {
	for c, cell := range r.cells {
		if cell != "" && !r.used[c] {
			r.addFault(column(c), "a %s line doesn't use this column", kind)
		}
	}
}

// keyword is an enumerated value as written in a sheet, with its value in the
// schema.
type keyword[T any] struct {
	text  string
	value T
}

// oneOf returns the schema value of the keyword in the field.
func oneOf[T any](r *row, c column, keywords []keyword[T]) T {
	text := strings.ToLower(r.required(c))
	at := slices.IndexFunc(keywords, func(w keyword[T]) bool { return w.text == text })
	if at >= 0 {
		return keywords[at].value
	}
	if text != "" {
		r.addFault(c, "%q must be one of %s", r.cells[c], keywordList(keywords))
	}
	var zero T
	return zero
}

func keywordList[T any](keywords []keyword[T]) string {
	texts := make([]string, len(keywords))
	for i, w := range keywords {
		texts[i] = w.text
	}
	return strings.Join(texts, ", ")
}
