package encoder

import "google.golang.org/protobuf/encoding/protowire"

func appendMember(b []byte, n protowire.Number, m *Member) []byte {
	b, at := beginNested(b, n)
	b = appendString(b, 1, m.ID)
	return endNested(appendUint(b, 2, m.Incarnation), at)
}

func appendMembers(b []byte, n protowire.Number, list []Member) []byte {
	for i := range list {
		b = appendMember(b, n, &list[i])
	}
	return b
}

func appendRoster(b []byte, n protowire.Number, r *Roster) []byte {
	b, at := beginNested(b, n)
	b = appendUint(b, 1, r.Epoch)
	for i := range r.Entries {
		var entry int
		b, entry = beginNested(b, 2)
		b = appendMember(b, 1, &r.Entries[i].Member)
		b = endNested(appendString(b, 2, r.Entries[i].Address), entry)
	}
	return endNested(b, at)
}

func appendTaskKey(b []byte, n protowire.Number, k *TaskKey) []byte {
	b, at := beginNested(b, n)
	b = appendString(b, 1, k.Job)
	return endNested(appendUint(b, 2, uint64(k.Index)), at)
}

func appendTaskKeys(b []byte, n protowire.Number, list []TaskKey) []byte {
	for i := range list {
		b = appendTaskKey(b, n, &list[i])
	}
	return b
}

func appendStartedTasks(b []byte, n protowire.Number, list []StartedTask) []byte {
	for i := range list {
		var at int
		b, at = beginNested(b, n)
		b = appendTaskKey(b, 1, &list[i].Task)
		b = appendUint(b, 2, uint64(list[i].Status))
		b = appendBytes(b, 3, list[i].Body)
		b = endNested(appendReason(b, 4, list[i].Reason), at)
	}
	return b
}

func appendHello(b []byte, m *Hello) []byte {
	b = appendUint(b, 1, uint64(m.Role))
	b = appendMember(b, 2, &m.Member)
	b = appendString(b, 3, m.Address)
	b = appendString(b, 4, m.Domain)
	b = appendString(b, 5, m.Worker)
	b = appendUint(b, 6, uint64(m.Slots))
	b = appendUint(b, 7, m.MemoryMB)
	return appendStrings(b, 8, m.Kinds)
}

func appendPong(b []byte, m *Pong) []byte {
	b = appendUint(b, 1, m.Sequence)
	b = appendBool(b, 2, m.Confirmed)
	b = appendMillis(b, 3, m.ConfirmationAge)
	b = appendRoster(b, 4, &m.Roster)
	b = appendUint(b, 5, m.ConfigOffset)
	b = appendBool(b, 6, m.DomainInForce)
	return appendBool(b, 7, m.LogReachable)
}

func appendStart(b []byte, m *Start) []byte {
	b = appendTaskKey(b, 1, &m.Task)
	b = appendUint(b, 2, m.Epoch)
	b = appendMember(b, 3, &m.Owner)
	b = appendString(b, 4, m.Kind)
	b = appendBytes(b, 5, m.Payload)
	b = appendMillis(b, 6, m.Deadline)
	b = appendMillis(b, 7, m.RunLimit)
	b = appendBool(b, 8, m.Once)
	return appendBool(b, 9, m.Claimed)
}

func appendResult(b []byte, m *Result) []byte {
	b = appendTaskKey(b, 1, &m.Task)
	b = appendUint(b, 2, uint64(m.Status))
	b = appendBytes(b, 3, m.Body)
	b = appendReason(b, 4, m.Reason)
	b = appendMillis(b, 5, m.RunTime)
	return appendUint(b, 6, uint64(m.Credits))
}

func appendRefusal(b []byte, m *Refusal) []byte {
	b = appendTaskKey(b, 1, &m.Task)
	b = appendUint(b, 2, uint64(m.Reason))
	b = appendUint(b, 3, m.Epoch)
	return appendUint(b, 4, uint64(m.Credits))
}

func appendPeerPing(b []byte, m *PeerPing) []byte {
	b = appendUint(b, 1, m.Sequence)
	b = appendUint(b, 2, m.Epoch)
	b = appendUint(b, 3, m.ConfigOffset)
	b = appendBool(b, 4, m.LogReachable)
	b = appendStrings(b, 5, m.WithdrawnDomains)
	b = appendMembers(b, 6, m.Sidecars)
	return appendBool(b, 7, m.ConfigConfirmed)
}

func appendPeerCensusRows(b []byte, m *PeerCensusReply) []byte {
	var at int
	for i := range m.Jobs {
		b, at = beginNested(b, 2)
		b = appendString(b, 1, m.Jobs[i].Key)
		b = endNested(appendMillis(b, 2, m.Jobs[i].Age), at)
	}
	for i := range m.Sidecars {
		b, at = beginNested(b, 3)
		b = appendMember(b, 1, &m.Sidecars[i].Member)
		b = endNested(appendMillis(b, 2, m.Sidecars[i].Lost), at)
	}
	return b
}

func appendJob(b []byte, n protowire.Number, m *Job) []byte {
	b, at := beginNested(b, n)
	b = appendString(b, 1, m.Key)
	b = appendString(b, 2, m.Team)
	for i := range m.Tasks {
		var task int
		b, task = beginNested(b, 3)
		b = appendString(b, 1, m.Tasks[i].Kind)
		b = appendBytes(b, 2, m.Tasks[i].Payload)
		b = appendMillis(b, 3, m.Tasks[i].RunTime)
		b = endNested(appendUint(b, 4, m.Tasks[i].MemoryMB), task)
	}
	b = appendMillis(b, 4, m.Deadline)
	return endNested(appendBool(b, 5, m.Once), at)
}

func appendAnswer(b []byte, n protowire.Number, m *Answer) []byte {
	b, at := beginNested(b, n)
	b = appendString(b, 1, m.Key)
	b = appendUint(b, 2, uint64(m.State))
	b = appendUint(b, 3, uint64(m.Outcome))
	b = appendUint(b, 4, uint64(m.Code))
	b = appendReason(b, 5, m.Reason)
	for i := range m.Results {
		var result int
		b, result = beginNested(b, 6)
		b = endNested(appendBytes(b, 1, m.Results[i].Body), result)
	}
	return endNested(appendMillis(b, 7, m.RetryAfter), at)
}
