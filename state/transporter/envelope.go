package transporter

import (
	"oleandertally/state/replicator"
)

// EncodeEnvelope converts an envelope. The result shares byte slices with envelope, which must not be modified afterwards.
func EncodeEnvelope(envelope replicator.Envelope) *Envelope {
	m := &Envelope{From: encodeServerID(envelope.From), To: encodeServerID(envelope.To), Term: uint64(envelope.Term)}
	switch message := envelope.Message.(type) {
	case replicator.RequestVote:
		m.Message = &Envelope_RequestVote{&RequestVote{PreVote: message.PreVote, Transfer: message.Transfer,
			LastIndex: uint64(message.LastIndex), LastTerm: uint64(message.LastTerm)}}
	case replicator.VoteReply:
		m.Message = &Envelope_VoteReply{&VoteReply{PreVote: message.PreVote, Granted: message.Granted, Replaced: message.Replaced, ReplacedDisk: message.ReplacedDisk}}
	case replicator.AppendEntries:
		m.Message = &Envelope_AppendEntries{encodeAppendEntries(message)}
	case replicator.AppendReply:
		m.Message = &Envelope_AppendReply{&AppendReply{Round: message.Round, Match: uint64(message.Match), Rejected: message.Rejected,
			PrevIndex: uint64(message.PrevIndex), Hint: uint64(message.Hint), HintTerm: uint64(message.HintTerm)}}
	case replicator.InstallSnapshot:
		m.Message = &Envelope_InstallSnapshot{&InstallSnapshot{Round: message.Round, Snapshot: encodeSnapshot(message.Snapshot)}}
	case replicator.TimeoutNow:
		m.Message = &Envelope_TimeoutNow{&TimeoutNow{}}
	}
	return m
}

// DecodeEnvelope converts a received envelope. It returns ErrMalformed wrapped with the name of the invalid field.
func DecodeEnvelope(m *Envelope) (replicator.Envelope, error) {
	from, err := decodeServerID(m.GetFrom())
	if err != nil {
		return replicator.Envelope{}, err
	}
	to, err := decodeServerID(m.GetTo())
	if err != nil {
		return replicator.Envelope{}, err
	}
	message, err := decodeMessage(m)
	return replicator.Envelope{From: from, To: to, Term: replicator.Term(m.GetTerm()), Message: message}, err
}

func decodeMessage(m *Envelope) (replicator.Message, error) {
	switch kind := m.GetMessage().(type) {
	case *Envelope_RequestVote:
		return replicator.RequestVote{PreVote: kind.RequestVote.GetPreVote(), Transfer: kind.RequestVote.GetTransfer(),
			LastIndex: replicator.Index(kind.RequestVote.GetLastIndex()), LastTerm: replicator.Term(kind.RequestVote.GetLastTerm())}, nil
	case *Envelope_VoteReply:
		return replicator.VoteReply{PreVote: kind.VoteReply.GetPreVote(), Granted: kind.VoteReply.GetGranted(), Replaced: kind.VoteReply.GetReplaced(),
			ReplacedDisk: kind.VoteReply.GetReplacedDisk()}, nil
	case *Envelope_AppendEntries:
		return decodeAppendEntries(kind.AppendEntries)
	case *Envelope_AppendReply:
		reply := kind.AppendReply
		return replicator.AppendReply{Round: reply.GetRound(), Match: replicator.Index(reply.GetMatch()), Rejected: reply.GetRejected(),
			PrevIndex: replicator.Index(reply.GetPrevIndex()), Hint: replicator.Index(reply.GetHint()),
			HintTerm: replicator.Term(reply.GetHintTerm())}, nil
	case *Envelope_InstallSnapshot:
		snapshot, err := decodeSnapshot(kind.InstallSnapshot.GetSnapshot())
		return replicator.InstallSnapshot{Round: kind.InstallSnapshot.GetRound(), Snapshot: snapshot}, err
	case *Envelope_TimeoutNow:
		return replicator.TimeoutNow{}, nil
	}
	return nil, malformed("Envelope.Message", "is missing or unknown")
}
