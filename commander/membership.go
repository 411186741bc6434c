package commander

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/loader"
	"github.com/crocuslb/crocuslb/reporter"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/watcher"
)

const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

var (
	memberAddressSetting = loader.Setting{Name: "memberAddress", Unit: loader.UnitAddress, Description: "address at which the process takes part in membership (UDP), reached by all other members; membership is off when empty"}
	memberSeedsSetting   = loader.Setting{Name: "memberSeeds", Unit: loader.UnitAddresses, Description: "member addresses of other processes, from which the process learns the others"}

	membershipRule = loader.Rule{Names: []string{memberAddressSetting.Name, memberSeedsSetting.Name, secretSetting.Name}, Check: checkMembership}
)

// membership is the failure detector among entries and sidecars; it is nil if membership is off. It is for observation
// only. An entry must not use it for ownership or placement, because a decision based on it could start a task twice: a
// member that the failure detector considers dead may still hold a freshness lease, and one that it considers alive may
// have no session. The census therefore counts sidecars by their sessions, and waits until the freshness leases of those
// that do not reply have expired.
type membership struct {
	process watcher.Process
	cancel  context.CancelFunc
}

// startMembership starts membership if its address is set. The process announces that it leaves when ctx is canceled,
// which is the beginning of the drain, or when stop is called. The incarnation is that of the process start; an entry
// that rejoins the roster with a newer incarnation remains the same member. The member identifier includes the role,
// because an entry and a sidecar may have the same identifier.
func (c invocation) startMembership(ctx context.Context, logger *log.Logger, role, id string, incarnation uint64) (*membership, error) {
	address := c.values.Text(memberAddressSetting.Name)
	if address == "" {
		return nil, nil //nolint:nilnil // a nil membership is valid: it is off
	}
	m := &membership{process: watcher.Process{
		Core:   watcher.Core{Self: watcher.Member{ID: role + "/" + id, Incarnation: incarnation}, Seed: rand.Uint64()},
		Secret: c.values.Text(secretSetting.Name), Seeds: c.values.List(memberSeedsSetting.Name),
		OnChange: func(m watcher.Member, s watcher.State) {
			logger.Infof("member: %s is %s, incarnation %d at %s", m.ID, s, m.Incarnation, m.Address)
		},
	}}
	ctx, m.cancel = context.WithCancel(ctx)
	bound, err := m.process.Start(ctx, address)
	if err != nil {
		m.cancel()
		return nil, err
	}
	logger.Infof("member: listening on %s", bound)
	return m, nil
}

// stop announces that the process leaves, unless it has done so already, and waits until membership has stopped.
func (m *membership) stop() {
	if m != nil {
		m.cancel()
		m.process.Wait()
	}
}

// states returns the other members sorted by role and identifier, or nil if membership is off.
func (m *membership) states() []server.MemberState {
	if m == nil {
		return nil
	}
	updates := m.process.Members()
	out := make([]server.MemberState, 0, len(updates))
	for _, u := range updates {
		role, id, _ := strings.Cut(u.Member.ID, "/")
		out = append(out, server.MemberState{
			Role: role, ID: id, Incarnation: u.Member.Incarnation, Address: u.Member.Address, State: u.State.String(),
		})
	}
	slices.SortFunc(out, func(a, b server.MemberState) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// updateMetrics updates the metrics of membership, if it is on.
func (m *membership) updateMetrics(metrics *reporter.Metrics) {
	if m == nil {
		return
	}
	counts := map[watcher.State]int{watcher.StateAlive: 0, watcher.StateSuspect: 0, watcher.StateDead: 0}
	for _, u := range m.process.Members() {
		counts[u.State]++
	}
	for s, n := range counts {
		metrics.SetGauge(`crocuslb_members{state="`+s.String()+`"}`, float64(n))
	}
	metrics.SetTotal("crocuslb_refused_member_datagrams_total", m.process.DroppedDatagrams())
}

// checkMembership rejects addresses beyond loopback if there is no secret, and an unspecified member address, because
// other members could not reach it.
func checkMembership(v loader.Values) []loader.Finding {
	var findings []loader.Finding
	add := func(s loader.Setting, reason string) {
		findings = append(findings, loader.Finding{Location: "-" + s.Name, Reason: reason})
	}
	hasSecret := v.Text(secretSetting.Name) != ""
	if !hasSecret && !v.IsLoopback(memberAddressSetting.Name) {
		add(memberAddressSetting, "an address beyond loopback needs -secret")
	}
	if a, err := netip.ParseAddrPort(v.Text(memberAddressSetting.Name)); err == nil && a.Addr().Unmap().IsUnspecified() {
		add(memberAddressSetting, "must name a single interface, so that other members reach it")
	}
	seeds := v.List(memberSeedsSetting.Name)
	if len(seeds) > 0 && v.Text(memberAddressSetting.Name) == "" {
		add(memberSeedsSetting, "needs -memberAddress")
	}
	for _, text := range seeds {
		if a, err := netip.ParseAddrPort(text); !hasSecret && (err != nil || !a.Addr().Unmap().IsLoopback()) {
			add(memberSeedsSetting, text+" is beyond loopback and needs -secret")
		}
	}
	return findings
}
