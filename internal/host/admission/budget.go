package admission

// Default resources of a host whose settings do not limit them.
const (
	DefaultMemory = 256 << 20 // bytes
	DefaultFiles  = 16384
)

// connectionCost is the memory of one open connection without its messages, in bytes: the
// goroutine, the buffers of the library, a TLS session, and the bytes that wait in its socket.
const connectionCost = 64 << 10

// Shares of a host's memory and files. Those of the memory add up to three quarters over all
// listeners; where the files allow fewer connections, as on all hosts of today, to less.
const (
	connectionShare  = 4  // of the memory, for the connections of callers, and as much for those of peers
	callerShare      = 8  // of the memory, for the messages of callers
	peerShare        = 16 // of the memory, for the messages of peers
	probeShare       = 64 // of the memory, for the messages of a listener for probes
	callerFileShare  = 12
	peerFileShare    = 6 // a leader has a connection of each host
	probeFileShare   = 128
	minConnections   = 8
	minMessageMemory = 1 << 20
)

// Budget is what the connections to one listener may use at once.
type Budget struct {
	connections int   // at least minConnections
	memory      int64 // bytes of messages, at least minMessageMemory
}

// Connections returns the number of connections.
func (b Budget) Connections() int { return b.connections }

// Memory returns the memory of messages in bytes.
func (b Budget) Memory() int64 { return b.memory }

// largest returns the largest cost of a message that is received beside others, in bytes.
func (b Budget) largest() int64 { return b.memory - b.memory/largeShare }

// Limited returns the budget with at most a number of connections.
func (b Budget) Limited(connections int) Budget {
	b.connections = min(b.connections, connections)
	return b
}

// MemoryFor returns the least memory of a host that receives a request with a head and a body of
// the given sizes beside others; all are in bytes.
func MemoryFor(head, body int) int64 {
	cost := int64(head)*headByteCost + int64(body)*bodyByteCost
	return cost * callerShare * largeShare / (largeShare - 1)
}

// CallerBudget returns the budget of the listener for callers, on a host with a memory in bytes
// and a number of files that it may open; 0 stands for the defaults.
func CallerBudget(memory int64, files int) Budget {
	return newBudget(memory, files, callerShare, callerFileShare)
}

// PeerBudget returns the budget of the listener for other hosts, like CallerBudget.
func PeerBudget(memory int64, files int) Budget {
	return newBudget(memory, files, peerShare, peerFileShare)
}

// ProbeBudget returns the budget of a listener for readiness checks or for operators, like
// CallerBudget.
func ProbeBudget(memory int64, files int) Budget {
	return newBudget(memory, files, probeShare, probeFileShare)
}

func newBudget(memory int64, files int, memoryShare int64, fileShare int) Budget {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if files <= 0 {
		files = DefaultFiles
	}
	connections := min(files/fileShare, int(memory/connectionShare/connectionCost))
	return Budget{connections: max(connections, minConnections), memory: max(memory/memoryShare, minMessageMemory)}
}
