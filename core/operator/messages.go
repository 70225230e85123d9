package operator

import (
	"net/netip"
	"strconv"
	"time"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// maxMembers limits the items of each list in a reply. 940 workers and their entries are expected.
const maxMembers = 16384

// EncodeState encodes every field of state.
func EncodeState(state State) *encoder.ReadReply {
	m := &encoder.ReadReply{Configuration: encoder.EncodeConfiguration(state.Configuration), Operator: state.Operator}
	for _, member := range state.Members {
		m.Members = append(m.Members, encoder.EncodeMember(member))
	}
	for _, load := range state.Loads {
		m.Loads = append(m.Loads, &encoder.MemberLoad{Identity: encoder.EncodeIdentity(load.Identity),
			Load: &encoder.Load{Slots: int32(load.Load.Slots), Running: int32(load.Load.Running), Queued: int32(load.Load.Queued)}})
	}
	for _, c := range state.Controllers {
		m.Controllers = append(m.Controllers, &encoder.ControllerStatus{Name: c.Name, Addr: addressText(c.Addr), Zone: c.Zone,
			Leading: c.Leading, Learner: c.Learner, Term: c.Term, CommitIndex: c.CommitIndex, AppliedIndex: c.AppliedIndex,
			SinceHeard: int64(c.SinceHeard), SyncedIndex: c.SyncedIndex})
	}
	for _, zone := range state.QueueZones {
		m.QueueZones = append(m.QueueZones, &encoder.QueueZone{Name: zone.Name, Workers: uint32(zone.Workers), Evacuated: zone.Evacuated})
	}
	return m
}

// DecodeState decodes and checks m. Its error lists the problems of all fields.
func DecodeState(m *encoder.ReadReply) (State, error) {
	found := &specifier.Problems{}
	state := State{Operator: m.GetOperator()}
	configuration, err := encoder.DecodeConfiguration(m.GetConfiguration())
	addProblem(found, "Configuration", err)
	state.Configuration = configuration
	if checkCount(found, "Members", len(m.GetMembers())) {
		for i, item := range m.GetMembers() {
			member, err := encoder.DecodeMember(item)
			addProblem(found, indexed("Members", i), err)
			state.Members = append(state.Members, member)
		}
	}
	if checkCount(found, "Loads", len(m.GetLoads())) {
		for i, item := range m.GetLoads() {
			state.Loads = append(state.Loads, decodeLoad(found, indexed("Loads", i), item))
		}
	}
	if checkCount(found, "Controllers", len(m.GetControllers())) {
		for i, item := range m.GetControllers() {
			state.Controllers = append(state.Controllers, decodeController(found, indexed("Controllers", i), item))
		}
	}
	if checkCount(found, "QueueZones", len(m.GetQueueZones())) {
		for _, item := range m.GetQueueZones() {
			state.QueueZones = append(state.QueueZones, QueueZone{Name: item.GetName(), Workers: int(item.GetWorkers()), Evacuated: item.GetEvacuated()})
		}
	}
	if problems := found.OrNil(); problems != nil {
		return State{}, problems
	}
	return state, nil
}

func decodeLoad(found *specifier.Problems, field string, m *encoder.MemberLoad) MemberLoad {
	id, err := encoder.DecodeIdentity(m.GetIdentity())
	addProblem(found, field+".Identity", err)
	load := specifier.Load{Slots: int(m.GetLoad().GetSlots()), Running: int(m.GetLoad().GetRunning()), Queued: int(m.GetLoad().GetQueued())}
	if min(load.Slots, load.Running, load.Queued) < 0 {
		found.Add(field+".Load", "has a negative count")
	}
	return MemberLoad{Identity: id, Load: load}
}

func decodeController(found *specifier.Problems, field string, m *encoder.ControllerStatus) ControllerStatus {
	if m.GetName() == "" || len(m.GetName()) > specifier.MaxName {
		found.Add(field+".Name", "has %d bytes, expected 1 to %d", len(m.GetName()), specifier.MaxName)
	}
	return ControllerStatus{Name: m.GetName(), Addr: decodeAddr(found, field+".Addr", m.GetAddr()), Zone: m.GetZone(),
		Leading: m.GetLeading(), Learner: m.GetLearner(), Term: m.GetTerm(), CommitIndex: m.GetCommitIndex(),
		AppliedIndex: m.GetAppliedIndex(), SinceHeard: time.Duration(m.GetSinceHeard()),
		SyncedIndex: m.GetSyncedIndex()}
}

// decodeAddr decodes an address. The empty text stands for the zero address.
func decodeAddr(found *specifier.Problems, field, text string) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		found.Add(field, "is %.64q, expected IP:port", text)
	}
	return addr
}

// checkCount reports whether a list has at most maxMembers items, and adds a problem when it has more.
func checkCount(found *specifier.Problems, field string, items int) bool {
	if items > maxMembers {
		found.Add(field, "has %d items, expected at most %d", items, maxMembers)
		return false
	}
	return true
}

func addProblem(found *specifier.Problems, field string, err error) {
	if err != nil {
		found.Add(field, "%v", err)
	}
}

// addressText is the inverse of decodeAddr.
func addressText(addr netip.AddrPort) string {
	if !addr.IsValid() {
		return ""
	}
	return addr.String()
}

func indexed(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }
