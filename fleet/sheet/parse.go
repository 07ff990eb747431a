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

// column is one column of the sheet.
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

// String returns the column's name in the header line.
func (c column) String() string { return columnNames[c] }

var byteOrderMark = []byte("\xef\xbb\xbf")

// parser collects the sheet and all its faults.
type parser struct {
	sheet  *Sheet
	faults Faults
	// columns tells the column of each field of a line.
	columns  []column
	services map[string]*pb.Service
	topUps   map[string]int
	shifts   map[Shift]int
}

// Parse reads a sheet. Where it has faults the error is Faults with all of
// them, and the sheet holds what could be read.
func Parse(data []byte) (*Sheet, error) {
	p := &parser{
		sheet:    &Sheet{lines: make(map[recordID]int)},
		services: make(map[string]*pb.Service),
		topUps:   make(map[string]int),
		shifts:   make(map[Shift]int),
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
		var bad *csv.ParseError
		if errors.As(err, &bad) {
			p.faults = append(p.faults, Fault{Line: bad.Line, Reason: bad.Err.Error()})
			continue
		}
		line, _ := r.FieldPos(0)
		p.line(line, fields)
	}
	if p.columns == nil {
		p.faults = append(p.faults, Fault{Line: 1, Reason: "the header line is missing"})
	}
}

// separator returns the semicolon where the header line has one and no comma,
// as spreadsheets of some locales write it.
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

func (p *parser) line(line int, fields []string) {
	if p.columns == nil {
		p.header(line, fields)
		return
	}
	r := &row{line: line, faults: &p.faults}
	for i, field := range fields {
		field = strings.TrimSpace(field)
		if i >= len(p.columns) {
			if field != "" {
				r.fault(colRecord, "the line has %d fields, the header %d", len(fields), len(p.columns))
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
	p.record(r)
}

// header reads the names of the columns. An unknown column is a fault; its
// fields are skipped.
func (p *parser) header(line int, fields []string) {
	p.columns = make([]column, len(fields))
	for i, field := range fields {
		name := strings.ToLower(strings.TrimSpace(field))
		at := column(slices.Index(columnNames[:], name))
		if at < 0 {
			p.faults = append(p.faults, Fault{Line: line, Column: name, Reason: "no such column; columns are " + strings.Join(columnNames[:], ", ")})
			at = columnCount
		} else if slices.Contains(p.columns[:i], at) {
			p.faults = append(p.faults, Fault{Line: line, Column: name, Reason: "the column stands twice"})
			at = columnCount
		}
		p.columns[i] = at
	}
	if !slices.Contains(p.columns, colRecord) {
		p.faults = append(p.faults, Fault{Line: line, Column: colRecord.String(), Reason: "the column is missing"})
	}
}
