package registrar

import (
	"bytes"
	"io"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// partSize is the number of items in one part of an encoded image. Parts keep the memory of
// encoding and decoding bounded.
const partSize = 4096

// Image is the state at one index. It does not change, so that another goroutine can encode it
// while batches are applied.
type Image struct {
	header      *encoder.RegistryHeader
	answers     []answer          // sorted
	owners      map[uint32]uint32 // number in the registrar to position in the header, from 1
	outcomes    map[uint32]uint32 // number in the registrar to position in answers, from 1
	submissions map[specifier.JobID]submission
}

// Image copies the state; the copy of the submissions takes most of the time.
func (r *Registrar) Image() *Image {
	owners, ownerAt := positions(&r.owners, specifier.Identity.Compare)
	answers, answerAt := positions(&r.answers, answer.compare)
	header := &encoder.RegistryHeader{
		Index:         r.index,
		Now:           r.now.UnixNano(),
		Configuration: encoder.EncodeConfiguration(r.configuration),
		Changed:       r.changed,
		MemberVersion: r.memberVersion,
		Draining:      slices.Sorted(maps.Keys(r.draining)),
		Answers:       uint64(len(answers)),
		Submissions:   uint64(len(r.submissions)),
	}
	for _, member := range r.Members() {
		header.Members = append(header.Members, encoder.EncodeMember(member))
	}
	for _, known := range r.departed.items {
		header.Departed = append(header.Departed, known.message())
	}
	for _, id := range r.requests.order {
		header.Requests = append(header.Requests, r.requests.byID[id].message())
	}
	for _, owner := range owners {
		header.Owners = append(header.Owners, encoder.EncodeIdentity(owner))
	}
	return &Image{header: header, answers: answers, owners: ownerAt, outcomes: answerAt, submissions: maps.Clone(r.submissions)}
}

// positions returns the values held in a stable order and the position, from 1, of each number.
// Numbers depend on the history of a replica, positions only on its state.
func positions[T comparable](held interface{ All(func(uint32, T)) }, compare func(a, b T) int) ([]T, map[uint32]uint32) {
	type numbered struct {
		number uint32
		item   T
	}
	var all []numbered
	held.All(func(number uint32, item T) { all = append(all, numbered{number, item}) })
	slices.SortFunc(all, func(a, b numbered) int { return compare(a.item, b.item) })
	items, at := make([]T, len(all)), map[uint32]uint32{0: 0}
	for i, one := range all {
		items[i] = one.item
		at[one.number] = uint32(i) + 1
	}
	return items, at
}

// Encode writes the image. Equal states give equal bytes.
func (m *Image) Encode(w io.Writer) error {
	if err := write(w, m.header); err != nil {
		return err
	}
	for part := range slices.Chunk(m.answers, partSize) {
		message := &encoder.RegistryAnswers{}
		for _, one := range part {
			message.Items = append(message.Items, encoder.EncodeAnswer(one.whole()))
		}
		if err := write(w, message); err != nil {
			return err
		}
	}
	jobs := slices.AppendSeq(make([]specifier.JobID, 0, len(m.submissions)), maps.Keys(m.submissions))
	slices.SortFunc(jobs, func(a, b specifier.JobID) int { return bytes.Compare(a[:], b[:]) })
	for part := range slices.Chunk(jobs, partSize) {
		if err := write(w, m.columns(part)); err != nil {
			return err
		}
	}
	return nil
}

func (m *Image) columns(jobs []specifier.JobID) *encoder.RegistrySubmissions {
	columns := &encoder.RegistrySubmissions{}
	for _, job := range jobs {
		known := m.submissions[job]
		columns.Jobs = append(columns.Jobs, job[:]...)
		columns.Digests = append(columns.Digests, known.digest[:]...)
		columns.Accepted = append(columns.Accepted, known.accepted)
		columns.Epochs = append(columns.Epochs, known.epoch)
		columns.Keeps = append(columns.Keeps, uint32(known.keep))
		columns.Owners = append(columns.Owners, m.owners[known.owner])
		columns.Answers = append(columns.Answers, m.outcomes[known.answer])
		columns.Helds = append(columns.Helds, uint32(known.held))
		columns.Phases = append(columns.Phases, byte(known.phase))
	}
	return columns
}

func write(w io.Writer, message proto.Message) error {
	options := protodelim.MarshalOptions{MarshalOptions: proto.MarshalOptions{Deterministic: true}}
	_, err := options.MarshalTo(w, message)
	return err
}

func (d departure) message() *encoder.RegistryDeparture {
	return &encoder.RegistryDeparture{Identity: encoder.EncodeIdentity(d.identity), Role: string(d.role), Index: d.index,
		Keep: d.keep.UnixNano()}
}

func (q request) message() *encoder.RegistryRequest {
	return &encoder.RegistryRequest{Id: q.id, Digest: q.digest[:], Operator: q.operator,
		Decision: encoder.EncodeDecision(q.decision), Keep: q.keep.UnixNano()}
}
