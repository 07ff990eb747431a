package budget

import (
	"strconv"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// OutboxEntry is a bill entry as its origin keeps it. Without a Run it is a run of
// its own.
type OutboxEntry struct {
	RequestID    string
	RunID        string
	Budget       string
	Workspace    string
	Parts        Parts
	Tokens       int64
	UsageUnknown bool
	// Sends counts how often the entry went to its budget's home.
	Sends uint8

	done bool
}

// Outbox keeps a router's own bill entries, oldest first, until the platform
// holds them. Entries are numbered from 1.
type Outbox struct {
	self    string
	entries []OutboxEntry
	// first is the number of entries[head].
	first uint64
	head  int
	open  int
	most  int
}

// NewOutbox returns an outbox that is full at most entries.
func NewOutbox(self string, most int) *Outbox {
	return &Outbox{self: self, first: 1, most: most}
}

// Len returns the number of entries that the platform doesn't hold yet.
func (o *Outbox) Len() int { return o.open }

// Full reports whether no further request may start: each could add an entry.
func (o *Outbox) Full() bool { return o.open >= o.most }

// Add keeps an entry and returns its number. It never refuses: a run that
// took place has its bill.
func (o *Outbox) Add(e OutboxEntry) uint64 {
	o.compact()
	o.entries = append(o.entries, e)
	o.open++
	return o.first + uint64(len(o.entries)-o.head-1)
}

// compact moves the kept entries to the front once half the slice is empty.
func (o *Outbox) compact() {
	if o.head < 64 || o.head*2 < len(o.entries) {
		return
	}
	n := copy(o.entries, o.entries[o.head:])
	clear(o.entries[n:])
	o.entries = o.entries[:n]
	o.head = 0
}

// Get returns the entry with this number, if it is still kept.
func (o *Outbox) Get(n uint64) (*OutboxEntry, bool) {
	if n < o.first || n-o.first >= uint64(len(o.entries)-o.head) {
		return nil, false
	}
	e := &o.entries[o.head+int(n-o.first)]
	return e, !e.done
}

// Remove drops an entry that the platform holds.
func (o *Outbox) Remove(n uint64) {
	e, ok := o.Get(n)
	if !ok {
		return
	}
	*e = OutboxEntry{done: true}
	o.open--
	for o.head < len(o.entries) && o.entries[o.head].done {
		o.head++
		o.first++
	}
}

// Each calls f for the kept entries from number on, oldest first, until f
// returns false.
func (o *Outbox) Each(from uint64, f func(n uint64, e *OutboxEntry) bool) {
	start := max(from, o.first)
	for i := o.head + int(start-o.first); i < len(o.entries); i++ {
		e := &o.entries[i]
		if !e.done && !f(o.first+uint64(i-o.head), e) {
			return
		}
	}
}

// EntryID returns the id of the entry with this number.
func (o *Outbox) EntryID(n uint64) string { return o.self + "." + strconv.FormatUint(n, 10) }

// ParseEntryID returns the number of an entry id of this outbox.
func (o *Outbox) ParseEntryID(id string) (uint64, bool) {
	digits, ok := strings.CutPrefix(id, o.self+".")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// Proto returns an entry as it is sent and settled.
func (o *Outbox) Proto(n uint64, e *OutboxEntry) *pb.BillEntry {
	id := o.EntryID(n)
	run := e.RunID
	if run == "" {
		run = id
	}
	return &pb.BillEntry{
		Id:           id,
		RequestId:    e.RequestID,
		Run:          run,
		Budget:       e.Budget,
		Workspace:    e.Workspace,
		Parts:        e.Parts.Proto(),
		Tokens:       e.Tokens,
		UsageUnknown: e.UsageUnknown,
	}
}
