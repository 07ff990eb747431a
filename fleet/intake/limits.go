package intake

import "time"

const (
	// contentsPermille is the part of the process's memory for heads, bodies and unread
	// answers, connectionsPermille the part for open connections. The rest is for the
	// program itself, the runtime's reserve, and what the network delivers.
	contentsPermille    = 420
	connectionsPermille = 140
	permille            = 1000
	// ConnectionBytes is what an open connection occupies besides contents: goroutines,
	// buffers, and bytes that the kernel has received and nobody has asked for.
	ConnectionBytes = 32 << 10
	// FreeHeadBytes is the size of a head that is paid for with the connection.
	FreeHeadBytes = 8 << 10
	// SmallBytes is the size up to which a body counts as small.
	SmallBytes = 128 << 10
	// LargeBufferBytes is what the kernel may have received of a large body in addition to
	// what is granted; it is charged with the body.
	LargeBufferBytes = 64 << 10
	// reservedDescriptors are kept for files; sockets and pipes share the others.
	reservedDescriptors = 200
	// callersPermille is the part of the sockets that callers get. Each request may need
	// another one to a target.
	callersPermille = 350
	// keptPermille is the part of the connections above which they aren't kept for further
	// requests.
	keptPermille = 750
	// refusedDivisor gives the connections that may be open in addition while they are
	// told that they are refused.
	refusedDivisor = 4
	// minConnections keeps the smallest process reachable.
	minConnections = 16
	// waitingDivisor gives the connections that may wait for requests without giving way to
	// new ones at once.
	waitingDivisor = 2
	// stalledAfter is how long a request may bring nothing before it counts as stalled.
	stalledAfter = time.Second
)

// The ceilings on all contents, in sixteenths, up to which a request of each class gets
// more. What lies above one class's ceiling is kept for the classes above it.
const (
	ceilingScale       = 16
	largeCeiling       = 12
	largeUrgentCeiling = 14
	smallCeiling       = 15
	smallUrgentCeiling = 16
	// answersCeiling is that of the responses alone.
	answersCeiling = 6
)

// Limits bounds what callers make a process hold.
type Limits struct {
	// Contents bounds the bytes of heads, bodies and unread answers.
	Contents int64
	// Connections is the number of open connections. Refused is how many more may be open
	// while their callers are told that they are refused.
	Connections, Refused int
}

// LimitsFor returns the limits of a process with a number of bytes of memory and a number
// of file descriptors; 0 descriptors means no limit.
func LimitsFor(memory int64, descriptors int) Limits {
	connections := int(memory * connectionsPermille / permille / ConnectionBytes)
	if descriptors > 0 {
		connections = min(connections, Sockets(descriptors)*callersPermille/permille)
	}
	connections = max(connections, minConnections)
	return Limits{Contents: memory * contentsPermille / permille, Connections: connections, Refused: max(connections/refusedDivisor, 1)}
}

// Sockets returns how many of a process's file descriptors are for sockets.
func Sockets(descriptors int) int { return max(descriptors-reservedDescriptors, 0) }

// Kept is the number of connections above which they are closed after a response.
func (l Limits) Kept() int { return l.Connections * keptPermille / permille }

// ceiling returns the bytes of contents up to which a request gets more.
func (l Limits) ceiling(small, urgent bool) int64 {
	sixteenths := int64(largeCeiling)
	switch {
	case small && urgent:
		sixteenths = smallUrgentCeiling
	case small:
		sixteenths = smallCeiling
	case urgent:
		sixteenths = largeUrgentCeiling
	}
	return l.Contents * sixteenths / ceilingScale
}
