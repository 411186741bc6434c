package submitter

import "github.com/crocuslb/crocuslb/marshaler"

// handOver tells the other entries which tasks of a partition may run or have an end that is not in the store yet. The
// next owner need not wait for certainty about the others.
func (s *Submitter) handOver(p *partition) {
	m := &marshaler.Handover{Partition: marshaler.Partition{Number: p.number, Epoch: p.epoch, Previous: p.previous}}
	for _, j := range marshaler.InOrder(s.jobs) {
		if j.keeping.partition != p {
			continue
		}
		noting := map[uint64]bool{}
		for key := range j.keeping.noting {
			noting[key.run.Index] = true
		}
		for n := range j.steps {
			for i := range j.steps[n].tasks {
				t := &j.steps[n].tasks[i]
				if index := marshaler.TaskIndex(n, i); t.state == taskPlaced || t.state == taskUnknown || t.state == taskEnded || noting[index] {
					m.Tasks = append(m.Tasks, marshaler.RunKey{Job: j.ID, Index: index})
				}
			}
		}
	}
	for _, peer := range marshaler.InOrder(s.peers) {
		peer.send(s.now, m)
	}
}

// onHandover takes the message of a former owner, which may come before or after this entry owns the partition.
func (s *Submitter) onHandover(m *marshaler.Handover) {
	if s.kept.handed == nil {
		s.kept.handed = map[uint64]*marshaler.Handover{}
	}
	s.kept.handed[m.Partition.Number] = m
	if p := s.kept.owned[m.Partition.Number]; p != nil {
		s.takeOver(p, m)
	}
}

// takeOver queues the tasks that the former owner surely did not start. The rest follows with the sidecars' answers.
func (s *Submitter) takeOver(p *partition, m *marshaler.Handover) {
	if p.recovered || p.previous != m.Partition.Epoch {
		return
	}
	except := map[marshaler.RunKey]bool{}
	for _, key := range m.Tasks {
		except[key] = true
	}
	s.report(Event{Kind: "takeOver", Detail: "partition", Value: int64(p.number), Count: int64(len(m.Tasks))})
	s.recover(p, except)
}
