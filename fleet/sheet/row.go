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

// keySumBytes is the length of a SHA-256 sum.
const keySumBytes = 32

// row is one line of a sheet. Its readers note faults and return zero values.
type row struct {
	line   int
	cells  [columnCount]string
	read   [columnCount]bool
	faults *Faults
}

func (r *row) fault(c column, format string, args ...any) {
	*r.faults = append(*r.faults, Fault{Line: r.line, Column: c.String(), Reason: fmt.Sprintf(format, args...)})
}

func (r *row) empty() bool { return r.cells == [columnCount]string{} }

// text returns a field that may be empty.
func (r *row) text(c column) string {
	r.read[c] = true
	return r.cells[c]
}

// required returns a field that must not be empty.
func (r *row) required(c column) string {
	text := r.text(c)
	if text == "" {
		r.fault(c, "is empty")
	}
	return text
}

// name returns the name of a record.
func (r *row) name(c column) string {
	name := r.text(c)
	if reason := config.CheckName(name); reason != "" {
		r.fault(c, "%s", reason)
	}
	return name
}

// optionalName returns a name, or nothing where the field is empty.
func (r *row) optionalName(c column) string {
	if r.text(c) == "" {
		return ""
	}
	return r.name(c)
}

// workspaceOrAll returns a name or AllWorkspaces.
func (r *row) workspaceOrAll(c column) string {
	if r.text(c) == AllWorkspaces {
		return AllWorkspaces
	}
	return r.name(c)
}

// yes returns whether the field says yes; empty says no.
func (r *row) yes(c column) bool {
	switch strings.ToLower(r.text(c)) {
	case "yes":
		return true
	case "no", "":
		return false
	}
	r.fault(c, "%q must be yes or no", r.cells[c])
	return false
}

// integer returns a whole number between two bounds. Spaces and underscores
// between digits are allowed.
func (r *row) integer(c column, low, high int64) int64 {
	text := strings.NewReplacer("_", "", " ", "", "\u00a0", "").Replace(r.required(c))
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.fault(c, "%q is not a whole number", r.cells[c])
		return 0
	}
	if n < low || n > high {
		r.fault(c, "%d must be from %d to %s", n, low, bound(high))
		return 0
	}
	return n
}

func bound(high int64) string {
	if high == math.MaxInt64 {
		return "the largest 64-bit number"
	}
	return strconv.FormatInt(high, 10)
}

// address returns an IP number and port.
func (r *row) address(c column) string {
	address := r.text(c)
	if reason := config.CheckAddress(address); reason != "" {
		r.fault(c, "%s", reason)
	}
	return address
}

// keySums returns SHA-256 sums written in hexadecimal with spaces between.
func (r *row) keySums(c column) [][]byte {
	var sums [][]byte
	for _, text := range strings.Fields(r.required(c)) {
		sum, err := hex.DecodeString(text)
		if err != nil || len(sum) != keySumBytes {
			r.fault(c, "%q is not a SHA-256 sum of %d hexadecimal digits", text, 2*keySumBytes)
			continue
		}
		sums = append(sums, sum)
	}
	return sums
}

// finish names the fields that the record's kind doesn't use.
func (r *row) finish(kind string) {
	for c, cell := range r.cells {
		if cell != "" && !r.read[c] {
			r.fault(column(c), "a %s line doesn't use this column", kind)
		}
	}
}

// word is a word of the sheet and its value in the schema.
type word[T any] struct {
	text  string
	value T
}

// oneOf returns the value of the word in the field.
func oneOf[T any](r *row, c column, words []word[T]) T {
	text := strings.ToLower(r.required(c))
	at := slices.IndexFunc(words, func(w word[T]) bool { return w.text == text })
	if at >= 0 {
		return words[at].value
	}
	if text != "" {
		r.fault(c, "%q must be one of %s", r.cells[c], wordList(words))
	}
	var zero T
	return zero
}

func wordList[T any](words []word[T]) string {
	texts := make([]string, len(words))
	for i, w := range words {
		texts[i] = w.text
	}
	return strings.Join(texts, ", ")
}
