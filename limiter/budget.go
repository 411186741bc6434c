// Package limiter bounds the memory and the connections that clients can make a process hold. Everything that they cause is
// charged to one budget: connections, heads, bodies and jobs. When the budget is used up, the connections that hold most for
// the longest time without a complete request are closed, and what still does not fit is refused.
package limiter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// connectionBytes is what an open connection holds besides its requests: its goroutine with stack and buffers, and the
	// socket's buffers, which fill while the process does not read.
	connectionBytes = 56 << 10
	// clientMemoryShare is the share of a machine's memory that clients may make the process hold. The rest is for the process's
	// own state, the Go runtime's garbage and the estimates' errors.
	clientMemoryShare = 0.4
	// runtimeMemoryShare is the share of a machine's memory from which on the Go runtime collects garbage more often. The rest
	// is for the program itself and the sockets' buffers.
	runtimeMemoryShare = 0.7
	// connectionMemoryShare is the share of the clients' memory that open connections may take.
	connectionMemoryShare = 0.5
	// connectionDescriptorShare is the share of a machine's descriptors for connections of clients. The rest is for files and for
	// the connections to other processes, backend servers and the store.
	connectionDescriptorShare = 0.5
	// privilegedShare is the share of the memory and of the connections that only privileged accounts may use.
	privilegedShare = 1.0 / 16
	// evictionShare is the share of a limit that one eviction frees at least, so that a flood does not cause one per connection.
	evictionShare = 1.0 / 32
	// evictionTimeout bounds the wait until evicted connections have ended.
	evictionTimeout = time.Second
	megabyte        = 1_000_000 // bytes
)

const (
	reserved outcome = iota
	refused
	// waiting means that there is room once evicted connections have ended.
	waiting
)

const (
	// Idle is the phase of a connection between two requests.
	Idle Phase = iota
	// Receiving is the phase from the first byte of a request until it is complete.
	Receiving
	// Serving is the phase while the process works on a request. The connection is not evicted.
	Serving
	// Sending is the phase while the client has not taken the response.
	Sending
)

type (
	// outcome is the result of an attempt to reserve.
	outcome uint8

	// Phase is what a connection waits for.
	Phase uint8

	// Machine is the size of the machine, or of the part of it, that a process may use.
	Machine struct {
		MemoryBytes int64
		Descriptors int
	}

	// Limits are the maximum sizes of what clients hold together.
	Limits struct {
		MemoryBytes int64
		Connections int
	}

	// Budget counts what clients make a process hold. Its methods may be called concurrently. The zero value has no limits.
	Budget struct {
		Limits Limits
		Clock  timer.Clock

		mu       sync.Mutex
		memory   int64 // bytes
		accounts map[*Account]struct{}
		// evicted and evictedMemory are the evicted connections that the process has not let go yet, and what they hold. They
		// are charged until then.
		evicted       int
		evictedMemory int64
		changed       chan struct{} // closed when something is released or evicted; nil while nobody waits
	}

	// Account is the part of a budget that one connection holds.
	Account struct {
		budget     *Budget
		evict      func()
		privileged bool
		// The fields below are guarded by budget.mu.
		memory  int64 // bytes
		phase   Phase
		since   timer.Millis // start of the phase
		evicted bool
		closed  bool
	}
)

// ClientLimits returns the limits for the clients of a process on the machine.
func (m Machine) ClientLimits() Limits {
	memory := int64(clientMemoryShare * float64(m.MemoryBytes))
	byMemory := int(connectionMemoryShare * float64(memory) / connectionBytes)
	return Limits{MemoryBytes: memory, Connections: min(byMemory, int(connectionDescriptorShare*float64(m.Descriptors)))}
}

// RuntimeMemory returns the soft memory limit of the Go runtime on the machine, in bytes.
func (m Machine) RuntimeMemory() int64 { return int64(runtimeMemoryShare * float64(m.MemoryBytes)) }

// NewMachine returns a machine with a memory in megabytes.
func NewMachine(megabytes int64, descriptors int) Machine {
	return Machine{MemoryBytes: Megabytes(megabytes), Descriptors: descriptors}
}

// Megabytes returns a number of megabytes in bytes.
func Megabytes(n int64) int64 { return n * megabyte }

// Open charges a new connection. If there are too many, it evicts others and waits until they have ended. ok is false if that
// does not suffice. evict is called at most once, and must close the connection without blocking. Privileged accounts have
// room that others cannot use.
func (b *Budget) Open(privileged bool, evict func()) (a *Account, ok bool) {
	a = &Account{budget: b, evict: evict, privileged: privileged, since: b.Clock.Now()}
	ok = b.await(func() outcome {
		if result := b.reserveConnection(a); result != reserved {
			return result
		}
		if result := b.reserve(a, connectionBytes, privileged); result != reserved {
			return result
		}
		if b.accounts == nil {
			b.accounts = map[*Account]struct{}{}
		}
		b.accounts[a] = struct{}{}
		a.memory = connectionBytes
		return reserved
	})
	return a, ok
}

// Reserve charges memory that belongs to no connection, and reports whether there is room now. If there is none, it evicts
// connections, so that there is soon. It leaves as much free as it charges, so that large reservations leave room for small ones.
func (b *Budget) Reserve(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserve(nil, 2*bytes, true) != reserved {
		return false
	}
	b.memory -= bytes
	return true
}

// Take charges memory that cannot be refused, so that the budget may be exceeded.
func (b *Budget) Take(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory += bytes
}

// Release returns memory charged by Reserve or Take.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory -= bytes
	b.notify()
}

// Use returns the number of connections and the memory that is charged, in bytes.
func (b *Budget) Use() (connections int, memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts), b.memory
}

// await calls try until it has reserved, it cannot, or evictionTimeout has passed. In between it waits for a change.
func (b *Budget) await(try func() outcome) bool {
	timeout := time.NewTimer(evictionTimeout)
	defer timeout.Stop()
	for {
		b.mu.Lock()
		result := try()
		if b.changed == nil && result == waiting {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		if result != waiting {
			return result == reserved
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		}
	}
}

// notify wakes the callers that wait for room.
func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

func (b *Budget) maxConnections(privileged bool) int {
	return b.Limits.Connections - int(reservedFor(privileged)*float64(b.Limits.Connections))
}

func (b *Budget) maxMemory(privileged bool) int64 {
	return b.Limits.MemoryBytes - int64(reservedFor(privileged)*float64(b.Limits.MemoryBytes))
}

// reservedFor returns the share of the limits that is not available.
func reservedFor(privileged bool) float64 {
	if privileged {
		return 0
	}
	return privilegedShare
}

// reserveConnection makes room for one connection more.
func (b *Budget) reserveConnection(a *Account) outcome {
	excess := len(b.accounts) + 1 - b.maxConnections(a.privileged)
	if b.Limits.Connections == 0 || excess <= 0 {
		return reserved
	}
	if more := excess - b.evicted; more > 0 {
		candidates, _ := b.candidates(a, connectionBytes)
		if len(candidates) < more {
			return refused
		}
		more = max(more, int(evictionShare*float64(b.Limits.Connections)))
		b.evict(candidates[:min(more, len(candidates))])
	}
	return waiting
}

// reserve charges memory on behalf of an account, which may be nil.
func (b *Budget) reserve(a *Account, bytes int64, privileged bool) outcome {
	excess := b.memory + bytes - b.maxMemory(privileged)
	if b.Limits.MemoryBytes == 0 || excess <= 0 {
		b.memory += bytes
		return reserved
	}
	if more := excess - b.evictedMemory; more > 0 {
		candidates, evictable := b.candidates(a, bytes)
		if evictable < more {
			return refused
		}
		b.evict(largest(candidates, max(more, int64(evictionShare*float64(b.Limits.MemoryBytes)))))
	}
	return waiting
}

// largest returns the first candidates, until they hold the wanted memory together.
func largest(candidates []*Account, bytes int64) []*Account {
	for n, c := range candidates {
		if bytes -= c.memory; bytes <= 0 {
			return candidates[:n+1]
		}
	}
	return candidates
}

// evict closes connections. They stay charged until the process has let them go.
func (b *Budget) evict(accounts []*Account) {
	for _, a := range accounts {
		a.evicted = true
		b.evicted++
		b.evictedMemory += a.memory
		a.evict()
	}
	b.notify() // an evicted connection may wait for room
}

// candidates returns the connections that are worth less than a request which wants more memory, and how much they hold. The
// first ones hold most for the longest time. A request without an account goes before all of them.
func (b *Budget) candidates(a *Account, bytes int64) (candidates []*Account, evictable int64) {
	now := b.Clock.Now()
	limit := int64(0)
	if a != nil && a.phase != Serving {
		limit = (a.memory + bytes) * a.age(now)
	}
	for c := range b.accounts {
		if c != a && !c.evicted && c.phase != Serving && c.weight(now) >= limit {
			candidates = append(candidates, c)
			evictable += c.memory
		}
	}
	slices.SortFunc(candidates, func(c, d *Account) int { return cmp.Compare(d.weight(now), c.weight(now)) })
	return candidates, evictable
}

// add changes the memory that an account holds.
func (a *Account) add(bytes int64) {
	a.memory += bytes
	if a.evicted {
		a.budget.evictedMemory += bytes
	}
}

// age returns for how long the account has been in its phase, in ms and at least 1.
func (a *Account) age(now timer.Millis) int64 { return int64(max(now-a.since, 0)) + 1 }

// weight is the product of what an account holds and for how long. A slow request of usual size weighs less than one that was
// left unfinished, and a client cannot lower it by sending a byte from time to time.
func (a *Account) weight(now timer.Millis) int64 { return a.memory * a.age(now) }

// Reserve charges memory to the account. If there is no room, it evicts other connections and waits until they have ended. It
// returns false if that does not suffice or the account is evicted.
func (a *Account) Reserve(bytes int64) bool {
	b := a.budget
	return b.await(func() outcome {
		if a.evicted || a.closed {
			return refused
		}
		result := b.reserve(a, bytes, a.privileged)
		if result == reserved {
			a.memory += bytes
		}
		return result
	})
}

// Release returns memory charged by Reserve.
func (a *Account) Release(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(bytes)
}

func (a *Account) release(bytes int64) {
	if a.closed {
		return
	}
	a.add(-bytes)
	a.budget.memory -= bytes
	a.budget.notify()
}

// SetPhase starts a phase, unless the account is in it already. In the phase Idle only the connection itself is charged.
func (a *Account) SetPhase(p Phase) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != p {
		a.phase, a.since = p, b.Clock.Now()
	}
	if p == Idle {
		a.release(a.memory - connectionBytes)
	}
}

// SetPhaseFrom starts a phase if the account is in the given other one, and reports whether it was.
func (a *Account) SetPhaseFrom(from, to Phase) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != from {
		return false
	}
	a.phase, a.since = to, b.Clock.Now()
	return true
}

// Evicted reports whether the connection was closed to make room for others.
func (a *Account) Evicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close releases all that the account holds.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.release(a.memory)
	a.closed = true
	delete(b.accounts, a)
	if a.evicted {
		b.evicted--
	}
}
