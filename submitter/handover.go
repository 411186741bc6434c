package submitter

import "github.com/crocuslb/crocuslb/marshaler"

// sendHandover tells the other entries which tasks of a partition may be running or have an end that is not in the
// store yet. The next owner can start the remaining tasks without waiting for runExpiry.
func (s *Submitter) sendHandover(p *partition) {
	m := &marshaler.Handover{Partition: marshaler.Partition{Number: p.number, Epoch: p.epoch, Previous: p.previous}}
	for _, j := range marshaler.SortedByKey(s.jobs) {
		if j.durability.partition != p {
			continue
		}
		recording := map[uint64]bool{}
		for key := range j.durability.recordingEnds {
			recording[key.run.Index] = true
		}
		for n := range j.steps {
			for i := range j.steps[n].tasks {
				t := &j.steps[n].tasks[i]
				if index := marshaler.TaskIndex(n, i); t.state == taskAssigned || t.state == taskUnknown || t.state == taskAborted || recording[index] {
					m.Tasks = append(m.Tasks, marshaler.RunKey{Job: j.ID, Index: index})
				}
			}
		}
	}
	for _, peer := range marshaler.SortedByKey(s.peers) {
		peer.send(s.now, m)
	}
}

// onHandover handles the message of a previous owner, which may arrive before or after this entry acquires the
// partition.
func (s *Submitter) onHandover(m *marshaler.Handover) {
	if s.durable.handovers == nil {
		s.durable.handovers = map[uint64]*marshaler.Handover{}
	}
	s.durable.handovers[m.Partition.Number] = m
	if p := s.durable.owned[m.Partition.Number]; p != nil {
		s.applyHandover(p, m)
	}
}

// applyHandover queues the tasks that the previous owner is known not to have started. The others are resolved by the
// sidecars' Census messages.
func (s *Submitter) applyHandover(p *partition, m *marshaler.Handover) {
	if p.recovered || p.previous != m.Partition.Epoch {
		return
	}
	delete(s.durable.handovers, p.number) // it says nothing about the runs that this entry starts from now on
	except := map[marshaler.RunKey]bool{}
	for _, key := range m.Tasks {
		except[key] = true
	}
	s.report(Event{Kind: "takeOver", Detail: "partition", Value: int64(p.number), Count: int64(len(m.Tasks))})
	s.requeueUnknown(p, except)
}
