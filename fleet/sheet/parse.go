package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// column identifies a column of the sheet.
type column int

const (
	colRecord column = iota
	colName
	colWorkspace
	colService
	colProvider
	colBudget
	colKind
	colPath
	colPriority
	colKeySHA256
	colPermille
	colTokens
	colDataCentre
	colAddress
	colChecksFencing
	colLeaving
	columnCount
)

var columnNames = [columnCount]string{
	"record", "name", "workspace", "service", "provider", "budget", "kind", "path", "priority",
	"key_sha256", "permille", "tokens", "data_centre", "address", "checks_fencing", "leaving",
}

// String returns the name of the column in the header line.
func (c column) String() string { return columnNames[c] }

var byteOrderMark = []byte("\xef\xbb\xbf")

// parser collects the parsed sheet and all its faults.
type parser struct {
	sheet  *Sheet
	faults Faults
	// columns holds the column of each field of a line.
	columns    []column
	services   map[string]*pb.Service
	topUpLines map[string]int
	shiftLines map[Shift]int
}

// Parse parses a sheet. If the sheet has faults, the error is a Faults with all of
// them, and the returned sheet holds everything that could be parsed.
func Parse(data []byte) (*Sheet, error) {
	p := &parser{
		sheet:      &Sheet{lines: make(map[recordID]int)},
		services:   make(map[string]*pb.Service),
		topUpLines: make(map[string]int),
		shiftLines: make(map[Shift]int),
	}
	p.read(bytes.TrimPrefix(data, byteOrderMark))
	p.sheet.normalise()
	if len(p.faults) > 0 {
		return p.sheet, p.faults.sorted()
	}
	return p.sheet, nil
}

func (p *parser) read(data []byte) {
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = separator(data)
	r.Comment = '#'
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			p.faults = append(p.faults, Fault{Line: parseErr.Line, Reason: parseErr.Err.Error()})
			continue
		}
		line, _ := r.FieldPos(0)
		p.parseLine(line, fields)
	}
	if p.columns == nil {
		p.faults = append(p.faults, Fault{Line: 1, Reason: "the header line is missing"})
	}
}

// separator returns the field separator of the sheet. It is a semicolon if the
// header line has one and no comma, as spreadsheet programs write it in some
// locales, and otherwise a comma.
func separator(data []byte) rune {
	for line := range bytes.Lines(data) {
		if bytes.HasPrefix(line, []byte("#")) || len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if bytes.ContainsRune(line, ';') && !bytes.ContainsRune(line, ',') {
			return ';'
		}
		return ','
	}
	return ','
}

func (p *parser) parseLine(line int, fields []string) {
	if p.columns == nil {
		p.parseHeader(line, fields)
		return
	}
	r := &row{line: line, faults: &p.faults}
	for i, field := range fields {
		field = strings.TrimSpace(field)
		if i >= len(p.columns) {
			if field != "" {
				r.addFault(colRecord, "the line has %d fields, but the header has %d", len(fields), len(p.columns))
				return
			}
			continue
		}
		if p.columns[i] != columnCount {
			r.cells[p.columns[i]] = strings.Clone(field)
		}
	}
	if r.empty() {
		return
	}
	p.parseRecord(r)
}

// parseHeader reads the column names. An unknown or repeated column is a fault,
// and its fields are skipped.
func (p *parser) parseHeader(line int, fields []string) {
	p.columns = make([]column, len(fields))
	for i, field := range fields {
		name := strings.ToLower(strings.TrimSpace(field))
		col := column(slices.Index(columnNames[:], name))
		if col < 0 {
			p.faults = append(p.faults, Fault{Line: line, Column: name, Reason: "unknown column; the columns are " + strings.Join(columnNames[:], ", ")})
			col = columnCount
		} else if slices.Contains(p.columns[:i], col) {
			p.faults = append(p.faults, Fault{Line: line, Column: name, Reason: "the column appears twice"})
			col = columnCount
		}
		p.columns[i] = col
	}
	if !slices.Contains(p.columns, colRecord) {
		p.faults = append(p.faults, Fault{Line: line, Column: colRecord.String(), Reason: "the column is missing"})
	}
}
