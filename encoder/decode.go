package encoder

// decode decodes the fields of a message. It returns nil for an unknown message type.
func (r *reader) decode(messageType uint64) Message {
	switch messageType {
	case typeHello:
		return r.hello()
	case typeHelloAck:
		return r.helloAck()
	case typePing:
		return r.ping()
	case typePong:
		return r.pong()
	case typeStart:
		return r.start()
	case typeClaimed:
		m := &Claimed{}
		for r.message = "Claimed"; r.next(); {
			if r.number == 1 {
				m.Job = r.jobKey("job")
			}
		}
		return m
	case typeResult:
		return r.result()
	case typeRefusal:
		return r.refusal()
	case typeGrant:
		return &Grant{r.decodeUint32("Grant", "credits")}
	case typeRecall:
		return &Recall{r.decodeUint32("Recall", "credits")}
	case typeRelease:
		return &Release{r.decodeUint32("Release", "credits")}
	case typeDemand:
		return &Demand{r.decodeUint32("Demand", "queued")}
	case typeCancel:
		return &Cancel{r.decodeTaskKeys("Cancel")}
	case typeCollected:
		return &Collected{r.decodeTaskKeys("Collected")}
	case typeCensus:
		m := &Census{}
		r.decodeRoster("Census", &m.Roster)
		return m
	case typeCensusReply:
		return r.censusReply()
	case typeLeaving:
		for r.message = "Leaving"; r.next(); {
			continue
		}
		return &Leaving{}
	}
	return r.decodePeer(messageType)
}

func (r *reader) decodeUint32(message, field string) (v uint32) {
	for r.message = message; r.next(); {
		if r.number == 1 {
			v = r.uint32(field)
		}
	}
	return v
}

func (r *reader) decodeTaskKeys(message string) (list []TaskKey) {
	for r.message = message; r.next(); {
		if r.number != 1 {
			continue
		}
		if k := appendElement(r, "tasks", &list, MaxTasks); k != nil {
			r.taskKey("tasks", k)
		}
	}
	return list
}

func (r *reader) decodeRoster(message string, roster *Roster) {
	for r.message = message; r.next(); {
		if r.number == 1 {
			r.roster("roster", roster)
		}
	}
}

func (r *reader) member(field string, m *Member) {
	o := r.enterNested(field, "Member")
	for r.next() {
		switch r.number {
		case 1:
			m.ID = r.string("id", MaxNameLen)
		case 2:
			m.Incarnation = r.uint64("incarnation")
		}
	}
	r.leaveNested(o)
}

func (r *reader) roster(field string, m *Roster) {
	o := r.enterNested(field, "Roster")
	for r.next() {
		switch r.number {
		case 1:
			m.Epoch = r.uint64("epoch")
		case 2:
			if e := appendElement(r, "entries", &m.Entries, MaxRosterEntries); e != nil {
				r.rosterEntry("entries", e)
			}
		}
	}
	r.leaveNested(o)
}

func (r *reader) rosterEntry(field string, m *RosterEntry) {
	o := r.enterNested(field, "RosterEntry")
	for r.next() {
		switch r.number {
		case 1:
			r.member("member", &m.Member)
		case 2:
			m.Address = r.string("address", MaxNameLen)
		}
	}
	r.leaveNested(o)
}

func (r *reader) taskKey(field string, m *TaskKey) {
	o := r.enterNested(field, "TaskKey")
	for r.next() {
		switch r.number {
		case 1:
			m.Job = r.jobKey("job")
		case 2:
			m.Index = r.uint32("index")
		}
	}
	r.leaveNested(o)
}

func (r *reader) startedTask(field string, m *StartedTask) {
	o := r.enterNested(field, "StartedTask")
	for r.next() {
		switch r.number {
		case 1:
			r.taskKey("task", &m.Task)
		case 2:
			m.Status = enumValue[Status](r, "status", statusNames)
		case 3:
			m.Body = r.bytes("body")
		case 4:
			m.Reason = r.string("reason", MaxReasonLen)
		}
	}
	r.leaveNested(o)
}

func (r *reader) hello() *Hello {
	m := &Hello{}
	for r.message = "Hello"; r.next(); {
		switch r.number {
		case 1:
			m.Role = enumValue[Role](r, "role", roleNames)
		case 2:
			r.member("member", &m.Member)
		case 3:
			m.Address = r.string("address", MaxNameLen)
		case 4:
			m.Domain = r.string("domain", MaxNameLen)
		case 5:
			m.Worker = r.string("worker", MaxNameLen)
		case 6:
			m.Slots = r.uint32("slots")
		case 7:
			m.MemoryMB = r.uint64("memoryMB")
		case 8:
			if kind := appendElement(r, "kinds", &m.Kinds, MaxKinds); kind != nil {
				*kind = r.string("kinds", MaxNameLen)
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
			m.ConfirmationAge = r.millis("age")
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
			r.taskKey("task", &m.Task)
		case 2:
			m.Epoch = r.uint64("epoch")
		case 3:
			r.member("owner", &m.Owner)
		case 4:
			m.Kind = r.string("kind", MaxNameLen)
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
			r.taskKey("task", &m.Task)
		case 2:
			m.Status = enumValue[Status](r, "status", statusNames)
		case 3:
			m.Body = r.bytes("body")
		case 4:
			m.Reason = r.string("reason", MaxReasonLen)
		case 5:
			m.RunTime = r.millis("ran")
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
			r.taskKey("task", &m.Task)
		case 2:
			m.Reason = enumValue[RefusalReason](r, "reason", refusalReasonNames)
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
			if s := appendElement(r, "started", &m.Started, MaxRowsPerPart); s != nil {
				r.startedTask("started", s)
			}
		case 3:
			m.Last = r.bool("last")
		}
	}
	return m
}
