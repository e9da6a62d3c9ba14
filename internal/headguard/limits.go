// Package headguard bounds what the clients of all HTTP servers of a process make it hold: connections, heads of
// requests, and bodies that are decoded in memory. A head of many short lines costs up to fifty times its size once it
// is parsed, and clients choose the number of their connections, so that a limit for each head does not bound the sum.
//
// A Guard reads the head of a request into a bounded buffer, counts its lines, and passes it on to the server only when
// its cost fits the budget of the process. Ledger makes the decisions, without I/O. It handles many connections at
// once, each with a head of any size and speed.
package headguard

// Memory and descriptors that are assumed where the settings do not state them.
const (
	defaultMemoryBytes = 512 << 20
	defaultDescriptors = 1024
)

const (
	// headShare, connectionShare and bodyShare divide the memory of the process. The rest is for the process at rest,
	// for responses, and for the garbage collector.
	headShare       = 1.0 / 8
	connectionShare = 1.0 / 8
	bodyShare       = 3.0 / 8
	// readingShare is the part of the budget of heads for those that are not complete or wait.
	readingShare = 1.0 / 4
	// largeShare is the part of the budget that heads above smallCost may use. The rest is for ordinary requests.
	largeShare = 3.0 / 4
	// smallCost is the cost of a head of some 60 lines, more than ordinary clients send.
	smallCost = 16 << 10
	// largeBodyShare is the part of the budget of bodies that bodies above smallBodyCost may use. The rest is for reports
	// of targets.
	largeBodyShare = 15.0 / 16
	smallBodyCost  = 256 << 10
	// listenerShare is the part of the connections that the clients of one listener may use, so that many callers
	// do not keep out the reports of targets and the checks of the load balancer.
	listenerShare = 3.0 / 4
	// connectionBytes is the memory of a connection with a small request and its attempts at targets: buffers, stacks
	// and state.
	connectionBytes = 64 << 10
	// ownDescriptors are those of files, listeners and connections to other hosts.
	ownDescriptors = 64
	// descriptorsPerRequest are those of a request: its connection, an attempt, and a hedged attempt.
	descriptorsPerRequest = 3
	// minConnections and minHeadBytes allow some requests in a process with very little.
	minConnections = 8
	minHeadBytes   = 4 << 20
)

const (
	// lineCost is the memory of a parsed line with a short name and value, which stays while the request runs. Distinct
	// names cost 81 to 136 bytes.
	lineCost = 160
	// byteCost counts a byte of a head twice: in the buffer of the guard and in the parsed head.
	byteCost = 2
	// bodyCost is the memory of a decoded body in multiples of its size: the document, the decoded values, and the
	// encoded command.
	bodyCost = 4
)

// Limits are the bounds of a process.
type Limits struct {
	// HeadBytes is the memory of all heads that are read, wait or run.
	HeadBytes int64
	// BodyBytes is the memory of all bodies that are decoded in memory.
	BodyBytes int64
	// Connections is the number of connections from clients.
	Connections int
}

// LimitsFor returns the limits of a process with the given memory in bytes and number of descriptors; 0 means that it
// is not known.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := float64(memoryBytes)
	byMemory := int(connectionShare * memory / connectionBytes)
	byDescriptors := (descriptors - ownDescriptors) / descriptorsPerRequest
	return Limits{HeadBytes: max(int64(headShare*memory), minHeadBytes), BodyBytes: int64(bodyShare * memory),
		Connections: max(min(byMemory, byDescriptors), minConnections)}
}

// Cost returns the memory in bytes that a head of a request takes until the request ends.
func Cost(bytes, lines int) int64 { return int64(byteCost*bytes + lineCost*lines) }
