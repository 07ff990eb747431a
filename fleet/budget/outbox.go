package budget

import (
	"strconv"
	"strings"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// OutboxEntry is a bill entry as its origin keeps it. An entry without a RunID
// is a run of its own.
type OutboxEntry struct {
	RequestID    string
	RunID        string
	Budget       string
	Workspace    string
	Parts        Parts
	Tokens       int64
	UsageUnknown bool
	// Sends counts how often the entry was sent to its budget's home.
	Sends uint8

	removed bool
}

// Outbox keeps a router's own bill entries, oldest first, until the platform
// has them. Entries are numbered from 1.
type Outbox struct {
	incarnation string
	entries     []OutboxEntry
	// firstNumber is the number of entries[head].
	firstNumber uint64
	head        int
	unsettled   int
	capacity    int
}

// NewOutbox returns an outbox that is full at capacity entries.
func NewOutbox(incarnation string, capacity int) *Outbox {
	return &Outbox{incarnation: incarnation, firstNumber: 1, capacity: capacity}
}

// Len returns the number of entries that the platform doesn't have yet.
func (o *Outbox) Len() int { return o.unsettled }

// Full reports whether no further request may start, since each could add an
// entry.
func (o *Outbox) Full() bool { return o.unsettled >= o.capacity }

// Add stores an entry and returns its number. It accepts entries even when the
// outbox is full, because a run that took place must be billed.
func (o *Outbox) Add(e OutboxEntry) uint64 {
	o.compact()
	o.entries = append(o.entries, e)
	o.unsettled++
	return o.firstNumber + uint64(len(o.entries)-o.head-1)
}

// compact moves the entries to the front once half of the slice is unused.
func (o *Outbox) compact() {
	if o.head < 64 || o.head*2 < len(o.entries) {
		return
	}
	n := copy(o.entries, o.entries[o.head:])
	clear(o.entries[n:])
	o.entries = o.entries[:n]
	o.head = 0
}

// Get returns the entry with a number, if it is still stored.
func (o *Outbox) Get(n uint64) (*OutboxEntry, bool) {
	if n < o.firstNumber || n-o.firstNumber >= uint64(len(o.entries)-o.head) {
		return nil, false
	}
	e := &o.entries[o.head+int(n-o.firstNumber)]
	return e, !e.removed
}

// Remove removes an entry that the platform has.
func (o *Outbox) Remove(n uint64) {
	e, ok := o.Get(n)
	if !ok {
		return
	}
	*e = OutboxEntry{removed: true}
	o.unsettled--
	for o.head < len(o.entries) && o.entries[o.head].removed {
		o.head++
		o.firstNumber++
	}
}

// Each calls f for the stored entries from a number on, oldest first, until f
// returns false.
func (o *Outbox) Each(from uint64, f func(n uint64, e *OutboxEntry) bool) {
	start := max(from, o.firstNumber)
	for i := o.head + int(start-o.firstNumber); i < len(o.entries); i++ {
		e := &o.entries[i]
		if !e.removed && !f(o.firstNumber+uint64(i-o.head), e) {
			return
		}
	}
}

// EntryID returns the id of the entry with a number.
func (o *Outbox) EntryID(n uint64) string { return o.incarnation + "." + strconv.FormatUint(n, 10) }

// ParseEntryID returns the number in an entry id. It returns false for an id of
// another outbox.
func (o *Outbox) ParseEntryID(id string) (uint64, bool) {
	digits, ok := strings.CutPrefix(id, o.incarnation+".")
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
