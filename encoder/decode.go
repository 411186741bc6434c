package encoder

// decode returns nil for an unknown message type.
func (r *reader) decode(kind uint64) Message {
	switch kind {
	case kindHello:
		return r.hello()
	case kindHelloAck:
		return r.helloAck()
	case kindPing:
		return r.ping()
	case kindPong:
		return r.pong()
	case kindStart:
		return r.start()
	case kindClaimed:
		m := &Claimed{}
		for r.message = "Claimed"; r.next(); {
			if r.number == 1 {
				m.Job = r.job("job")
			}
		}
		return m
	case kindResult:
		return r.result()
	case kindRefusal:
		return r.refusal()
	case kindGrant:
		return &Grant{r.single("Grant", "credits")}
	case kindRecall:
		return &Recall{r.single("Recall", "credits")}
	case kindRelease:
		return &Release{r.single("Release", "credits")}
	case kindDemand:
		return &Demand{r.single("Demand", "queued")}
	case kindCancel:
		return &Cancel{r.taskList("Cancel")}
	case kindCollected:
		return &Collected{r.taskList("Collected")}
	case kindCensus:
		m := &Census{}
		r.onlyRoster("Census", &m.Roster)
		return m
	case kindCensusReply:
		return r.censusReply()
	case kindLeaving:
		for r.message = "Leaving"; r.next(); {
			continue
		}
		return &Leaving{}
	}
	return r.decodePeer(kind)
}

func (r *reader) single(message, field string) (v uint32) {
	for r.message = message; r.next(); {
		if r.number == 1 {
			v = r.uint32(field)
		}
	}
	return v
}

func (r *reader) taskList(message string) (list []TaskKey) {
	for r.message = message; r.next(); {
		if r.number != 1 {
			continue
		}
		if k := grow(r, "tasks", &list, MaxTasks); k != nil {
			r.task("tasks", k)
		}
	}
	return list
}

func (r *reader) onlyRoster(message string, roster *Roster) {
	for r.message = message; r.next(); {
		if r.number == 1 {
			r.roster("roster", roster)
		}
	}
}

func (r *reader) member(field string, m *Member) {
	o := r.enter(field, "Member")
	for r.next() {
		switch r.number {
		case 1:
			m.ID = r.string("id", MaxName)
		case 2:
			m.Incarnation = r.uint64("incarnation")
		}
	}
	r.leave(o)
}

func (r *reader) roster(field string, m *Roster) {
	o := r.enter(field, "Roster")
	for r.next() {
		switch r.number {
		case 1:
			m.Epoch = r.uint64("epoch")
		case 2:
			if e := grow(r, "entries", &m.Entries, MaxRoster); e != nil {
				r.rosterEntry("entries", e)
			}
		}
	}
	r.leave(o)
}

func (r *reader) rosterEntry(field string, m *RosterEntry) {
	o := r.enter(field, "RosterEntry")
	for r.next() {
		switch r.number {
		case 1:
			r.member("member", &m.Member)
		case 2:
			m.Address = r.string("address", MaxName)
		}
	}
	r.leave(o)
}

func (r *reader) task(field string, m *TaskKey) {
	o := r.enter(field, "TaskKey")
	for r.next() {
		switch r.number {
		case 1:
			m.Job = r.job("job")
		case 2:
			m.Index = r.uint32("index")
		}
	}
	r.leave(o)
}

func (r *reader) startedTask(field string, m *StartedTask) {
	o := r.enter(field, "StartedTask")
	for r.next() {
		switch r.number {
		case 1:
			r.task("task", &m.Task)
		case 2:
			m.Status = enum[Status](r, "status", statusNames)
		case 3:
			m.Body = r.bytes("body")
		case 4:
			m.Reason = r.string("reason", MaxReason)
		}
	}
	r.leave(o)
}

func (r *reader) hello() *Hello {
	m := &Hello{}
	for r.message = "Hello"; r.next(); {
		switch r.number {
		case 1:
			m.Role = enum[Role](r, "role", roleNames)
		case 2:
			r.member("member", &m.Member)
		case 3:
			m.Address = r.string("address", MaxName)
		case 4:
			m.Domain = r.string("domain", MaxName)
		case 5:
			m.Worker = r.string("worker", MaxName)
		case 6:
			m.Slots = r.uint32("slots")
		case 7:
			m.MemoryMB = r.uint64("memoryMB")
		case 8:
			if kind := grow(r, "kinds", &m.Kinds, MaxKinds); kind != nil {
				*kind = r.string("kinds", MaxName)
			}
		}
	}
	return m
}

func (r *reader) helloAck() *HelloAck {
	m := &HelloAck{}
	for r.message = "HelloAck"; r.next(); {
		switch r.number {
		case 1:
			r.member("member", &m.Member)
		case 2:
			r.roster("roster", &m.Roster)
		}
	}
	return m
}

func (r *reader) ping() *Ping {
	m := &Ping{}
	for r.message = "Ping"; r.next(); {
		switch r.number {
		case 1:
			m.Sequence = r.uint64("sequence")
		case 2:
			m.Running = r.uint32("running")
		case 3:
			m.Leaving = r.bool("leaving")
		case 4:
			m.Epoch = r.uint64("epoch")
		}
	}
	return m
}

func (r *reader) pong() *Pong {
	m := &Pong{}
	for r.message = "Pong"; r.next(); {
		switch r.number {
		case 1:
			m.Sequence = r.uint64("sequence")
		case 2:
			m.Confirmed = r.bool("confirmed")
		case 3:
			m.Age = r.millis("age")
		case 4:
			r.roster("roster", &m.Roster)
		case 5:
			m.ConfigOffset = r.uint64("configOffset")
		case 6:
			m.DomainInForce = r.bool("domainInForce")
		case 7:
			m.LogReachable = r.bool("logReachable")
		}
	}
	return m
}

func (r *reader) start() *Start {
	m := &Start{}
	for r.message = "Start"; r.next(); {
		switch r.number {
		case 1:
			r.task("task", &m.Task)
		case 2:
			m.Epoch = r.uint64("epoch")
		case 3:
			r.member("owner", &m.Owner)
		case 4:
			m.Kind = r.string("kind", MaxName)
		case 5:
			m.Payload = r.bytes("payload")
		case 6:
			m.Deadline = r.millis("deadline")
		case 7:
			m.RunLimit = r.millis("runLimit")
		case 8:
			m.Once = r.bool("once")
		case 9:
			m.Claimed = r.bool("claimed")
		}
	}
	return m
}

func (r *reader) result() *Result {
	m := &Result{}
	for r.message = "Result"; r.next(); {
		switch r.number {
		case 1:
			r.task("task", &m.Task)
		case 2:
			m.Status = enum[Status](r, "status", statusNames)
		case 3:
			m.Body = r.bytes("body")
		case 4:
			m.Reason = r.string("reason", MaxReason)
		case 5:
			m.Ran = r.millis("ran")
		case 6:
			m.Credits = r.uint32("credits")
		}
	}
	return m
}

func (r *reader) refusal() *Refusal {
	m := &Refusal{}
	for r.message = "Refusal"; r.next(); {
		switch r.number {
		case 1:
			r.task("task", &m.Task)
		case 2:
			m.Reason = enum[RefusalReason](r, "reason", refusalNames)
		case 3:
			m.Epoch = r.uint64("epoch")
		case 4:
			m.Credits = r.uint32("credits")
		}
	}
	return m
}

func (r *reader) censusReply() *CensusReply {
	m := &CensusReply{}
	for r.message = "CensusReply"; r.next(); {
		switch r.number {
		case 1:
			m.Epoch = r.uint64("epoch")
		case 2:
			if s := grow(r, "started", &m.Started, MaxRows); s != nil {
				r.startedTask("started", s)
			}
		case 3:
			m.Last = r.bool("last")
		}
	}
	return m
}
