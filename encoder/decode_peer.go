package encoder

// decodePeer decodes the fields of a message between entries. It returns nil for an unknown message type.
func (r *reader) decodePeer(messageType uint64) Message {
	switch messageType {
	case typePeerPing:
		m := &PeerPing{}
		r.message = "PeerPing"
		r.peerPing(m)
		return m
	case typePeerPong:
		return r.peerPong()
	case typeForward:
		return r.forward()
	case typeForwardAnswer:
		return r.forwardAnswer()
	case typeWitness:
		m := &Witness{}
		for r.message = "Witness"; r.next(); {
			if r.number == 1 {
				r.jobKeys(&m.Jobs)
			}
		}
		return m
	case typePeerCensus:
		m := &PeerCensus{}
		r.decodeRoster("PeerCensus", &m.Roster)
		return m
	case typePeerCensusReply:
		return r.peerCensusReply()
	case typePeerConfiguration:
		return r.peerConfiguration()
	case typeHandover:
		return r.handover()
	}
	return nil
}

func (r *reader) peerPing(m *PeerPing) {
	for r.next() {
		switch r.number {
		case 1:
			m.Sequence = r.uint64("sequence")
		case 2:
			m.Epoch = r.uint64("epoch")
		case 3:
			m.ConfigOffset = r.uint64("configOffset")
		case 4:
			m.LogReachable = r.bool("logReachable")
		case 5:
			if domain := appendElement(r, "domains", &m.WithdrawnDomains, MaxDomains); domain != nil {
				*domain = r.string("domains", MaxNameLen)
			}
		case 6:
			r.sidecars(&m.Sidecars)
		case 7:
			m.ConfigConfirmed = r.bool("configConfirmed")
		}
	}
}

func (r *reader) peerPong() *PeerPong {
	m := &PeerPong{}
	for r.message = "PeerPong"; r.next(); {
		switch r.number {
		case 1:
			m.Sequence = r.uint64("sequence")
		case 2:
			o := r.enterNested("state", "PeerPing")
			r.peerPing(&m.State)
			r.leaveNested(o)
		}
	}
	return m
}

func (r *reader) forward() *Forward {
	m := &Forward{}
	for r.message = "Forward"; r.next(); {
		switch r.number {
		case 1:
			m.ID = r.uint64("id")
		case 2:
			m.Request = enumValue[Request](r, "request", requestNames)
		case 3:
			m.Hops = r.uint32("hops")
		case 4:
			r.job("job", &m.Job)
		}
	}
	return m
}

func (r *reader) forwardAnswer() *ForwardAnswer {
	m := &ForwardAnswer{}
	for r.message = "ForwardAnswer"; r.next(); {
		switch r.number {
		case 1:
			m.ID = r.uint64("id")
		case 2:
			r.answer("answer", &m.Answer)
		case 3:
			m.First = r.uint32("first")
		case 4:
			m.Total = r.uint32("total")
		}
	}
	return m
}

func (r *reader) peerCensusReply() *PeerCensusReply {
	m := &PeerCensusReply{}
	for r.message = "PeerCensusReply"; r.next(); {
		switch r.number {
		case 1:
			m.Epoch = r.uint64("epoch")
		case 2:
			if j := appendElement(r, "jobs", &m.Jobs, MaxRowsPerPart); j != nil {
				r.knownJob(j)
			}
		case 3:
			if s := appendElement(r, "sidecars", &m.Sidecars, MaxSidecars); s != nil {
				r.knownSidecar(s)
			}
		case 4:
			m.Last = r.bool("last")
		}
	}
	return m
}

func (r *reader) knownJob(m *KnownJob) {
	o := r.enterNested("jobs", "KnownJob")
	for r.next() {
		switch r.number {
		case 1:
			m.Key = r.string("key", MaxKeyLen)
		case 2:
			m.Age = r.millis("age")
		}
	}
	r.leaveNested(o)
}

func (r *reader) knownSidecar(m *KnownSidecar) {
	o := r.enterNested("sidecars", "KnownSidecar")
	for r.next() {
		switch r.number {
		case 1:
			r.member("member", &m.Member)
		case 2:
			m.Lost = r.millis("lost")
		}
	}
	r.leaveNested(o)
}

func (r *reader) peerConfiguration() *PeerConfiguration {
	m := &PeerConfiguration{}
	for r.message = "PeerConfiguration"; r.next(); {
		if r.number == 1 {
			m.Checkpoint = r.bytes("checkpoint")
		}
	}
	return m
}

func (r *reader) handover() *Handover {
	m := &Handover{}
	for r.message = "Handover"; r.next(); {
		switch r.number {
		case 1:
			r.job("job", &m.Job)
		case 2:
			if s := appendElement(r, "started", &m.Started, MaxRowsPerPart); s != nil {
				r.startedTask("started", s)
			}
		case 3:
			r.answer("answer", &m.Answer)
		case 4:
			m.StartedComplete = r.bool("certain")
		}
	}
	return m
}

func (r *reader) jobKeys(list *[]string) {
	if job := appendElement(r, "jobs", list, MaxRowsPerPart); job != nil {
		*job = r.string("jobs", MaxKeyLen)
	}
}

func (r *reader) sidecars(list *[]Member) {
	if m := appendElement(r, "sidecars", list, MaxSidecars); m != nil {
		r.member("sidecars", m)
	}
}

func (r *reader) job(field string, m *Job) {
	o := r.enterNested(field, "Job")
	for r.next() {
		switch r.number {
		case 1:
			m.Key = r.jobKey("key")
		case 2:
			m.Team = r.string("team", MaxNameLen)
		case 3:
			if t := appendElement(r, "tasks", &m.Tasks, MaxTasks); t != nil {
				r.jobTask("tasks", t)
			}
		case 4:
			m.Deadline = r.millis("deadline")
		case 5:
			m.Once = r.bool("once")
		}
	}
	r.leaveNested(o)
}

func (r *reader) jobTask(field string, m *JobTask) {
	o := r.enterNested(field, "JobTask")
	for r.next() {
		switch r.number {
		case 1:
			m.Kind = r.string("kind", MaxNameLen)
		case 2:
			m.Payload = r.bytes("payload")
		case 3:
			m.RunTime = r.millis("runTime")
		case 4:
			m.MemoryMB = r.uint64("memoryMB")
		}
	}
	r.leaveNested(o)
}

func (r *reader) answer(field string, m *Answer) {
	o := r.enterNested(field, "Answer")
	for r.next() {
		switch r.number {
		case 1:
			m.Key = r.jobKey("key")
		case 2:
			m.State = enumValue[JobState](r, "state", jobStateNames)
		case 3:
			m.Outcome = enumValue[Outcome](r, "outcome", outcomeNames)
		case 4:
			m.Code = enumValue[FailureCode](r, "code", failureCodeNames)
		case 5:
			m.Reason = r.string("reason", MaxReasonLen)
		case 6:
			if t := appendElement(r, "results", &m.Results, MaxTasks); t != nil {
				r.taskResult("results", t)
			}
		case 7:
			m.RetryAfter = r.millis("retryAfter")
		}
	}
	r.leaveNested(o)
}

func (r *reader) taskResult(field string, m *TaskResult) {
	o := r.enterNested(field, "TaskResult")
	for r.next() {
		if r.number == 1 {
			m.Body = r.bytes("body")
		}
	}
	r.leaveNested(o)
}
