package budgetsim

// Bug is a defect injected into a World.
type Bug uint8

// The injected bugs. Each violates one property.
const (
	// BugNone injects nothing.
	BugNone Bug = iota
	// BugLoanTotalAdded adds the total of a loan message each time it arrives.
	BugLoanTotalAdded
	// BugCloseFreesTokens returns a closed grant's tokens to free at once.
	BugCloseFreesTokens
	// BugDrawAssumedCommitted treats a draw as committed although its
	// response was lost.
	BugDrawAssumedCommitted
	// BugReturnUndone spends returned tokens again if the return got no
	// response.
	BugReturnUndone
	// BugLateLoanAccepted accepts loans of a grant after its fence.
	BugLateLoanAccepted
	// BugNewEntryID resends a bill with another entry id and request id.
	BugNewEntryID
	// BugSecondRunBilled bills a second run of a request.
	BugSecondRunBilled
	// BugBillDropped drops a bill before the platform has it.
	BugBillDropped
	// BugUnregisteredHolder lets a router hold tokens before its registration.
	BugUnregisteredHolder
	// BugFenceOmitsBills leaves unsettled bills out of a fence.
	BugFenceOmitsBills
	// BugUnfencedIgnored releases tokens although a live router is not fenced.
	BugUnfencedIgnored

	bugCount
)

var bugNames = [bugCount]string{
	"none", "loan total added", "close frees tokens", "draw assumed committed", "return undone", "late loan accepted",
	"new entry id", "second run billed", "bill dropped", "unregistered holder", "fence omits bills", "unfenced ignored",
}

// String returns the bug's name.
func (b Bug) String() string { return bugNames[b] }

// Bugs returns all bugs.
func Bugs() []Bug {
	var all []Bug
	for b := BugNone + 1; b < bugCount; b++ {
		all = append(all, b)
	}
	return all
}
