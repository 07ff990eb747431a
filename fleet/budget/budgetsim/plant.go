package budgetsim

// Bug is a fault put into a World on purpose.
type Bug uint8

// The planted faults. Each breaks what one property states.
const (
	// BugNone leaves all decisions as they are.
	BugNone Bug = iota
	// BugLoanTotalAdded adds a loan message's total each time it comes.
	BugLoanTotalAdded
	// BugCloseFreesTokens returns a closed grant's tokens to free at once.
	BugCloseFreesTokens
	// BugDrawAssumedCommitted takes a draw as done although its answer was lost.
	BugDrawAssumedCommitted
	// BugReturnUndone spends tokens again whose return got no answer.
	BugReturnUndone
	// BugLateLoanAccepted accepts loans of a grant after its fence.
	BugLateLoanAccepted
	// BugNewEntryID sends a bill anew under another entry id and run.
	BugNewEntryID
	// BugSecondRunBilled bills a second run of a request.
	BugSecondRunBilled
	// BugBillDropped drops a bill before the platform holds it.
	BugBillDropped
	// BugUnregisteredHolder lets a router hold tokens before its registration.
	BugUnregisteredHolder
	// BugFenceOmitsBills leaves unsettled bills out of a fence.
	BugFenceOmitsBills
	// BugUnfencedIgnored releases although a router has not been fenced.
	BugUnfencedIgnored

	plantCount
)

var plantNames = [plantCount]string{
	"none", "loan adds", "close frees", "draw assumed", "return undone", "late loan taken",
	"new entry id", "second run billed", "bill forgotten", "unregistered", "fence omits", "silent ignored",
}

// String names the fault.
func (p Bug) String() string { return plantNames[p] }

// Bugs returns all faults.
func Bugs() []Bug {
	var all []Bug
	for p := BugNone + 1; p < plantCount; p++ {
		all = append(all, p)
	}
	return all
}
