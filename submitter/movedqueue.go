package submitter

import "github.com/crocuslb/crocuslb/marshaler"

// moveJobs lets the jobs whose queue has another service in the configuration in force run there from now on. Runs that have started
// go on where they are. A job whose queue is gone keeps the service that it had.
func (s *Submitter) moveJobs() {
	if len(s.jobs) == 0 {
		return
	}
	services := s.servicesByQueue()
	for _, j := range marshaler.SortedByKey(s.jobs) {
		service, ok := services[j.Queue.Name]
		if !ok || service == j.Queue.Service {
			continue
		}
		s.report(Event{Kind: "queueMoved", Job: j.ID, Queue: j.Queue.Name, Detail: service})
		j.Queue.Service = service
		for n := range j.steps {
			s.withdrawRequest(j, n)
		}
		s.requestReadySteps(j)
	}
}

// servicesByQueue returns the services of the queues in the configuration in force.
func (s *Submitter) servicesByQueue() map[string]string {
	services := map[string]string{}
	for i := range s.snapshot.Queues() {
		q := &s.snapshot.Queues()[i]
		services[q.Name] = q.Service
	}
	return services
}
