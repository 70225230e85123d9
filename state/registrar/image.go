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

// partItems is the number of items in one part of an encoded image. Parts bound the memory that
// encoding and decoding need.
const partItems = 4096

// Image is an immutable copy of the state at one log index. Another goroutine can encode it
// while further batches are applied.
type Image struct {
	header          *encoder.RegistryHeader
	answers         []answer          // sorted
	ownerPositions  map[uint32]uint32 // interned number to position in the owners of the header, from 1
	answerPositions map[uint32]uint32 // interned number to position in answers, from 1
	submissions     map[specifier.JobID]submission
}

// Image returns a copy of the state. Copying the submissions takes most of the time.
func (r *Registrar) Image() *Image {
	owners, ownerPositions := assignPositions(&r.owners, specifier.Identity.Compare)
	answers, answerPositions := assignPositions(&r.answers, answer.compare)
	header := &encoder.RegistryHeader{
		Index:         r.index,
		Now:           r.now.UnixNano(),
		Configuration: encoder.EncodeConfiguration(r.configuration),
		Changed:       r.lastOperator,
		MemberVersion: r.memberVersion,
		Draining:      slices.Sorted(maps.Keys(r.draining)),
		Answers:       uint64(len(answers)),
		Submissions:   uint64(len(r.submissions)),
	}
	for _, member := range r.Members() {
		header.Members = append(header.Members, encoder.EncodeMember(member))
	}
	for _, item := range r.departed.items {
		header.Departed = append(header.Departed, item.encode())
	}
	for _, id := range r.requests.order {
		header.Requests = append(header.Requests, r.requests.byID[id].encode())
	}
	for _, owner := range owners {
		header.Owners = append(header.Owners, encoder.EncodeIdentity(owner))
	}
	return &Image{header: header, answers: answers, ownerPositions: ownerPositions, answerPositions: answerPositions, submissions: maps.Clone(r.submissions)}
}

// assignPositions returns the interned values in sorted order and a map from each interned number to
// its position, which starts at 1. Numbers depend on the history of a replica, while positions depend
// only on its state, so equal states are encoded alike.
func assignPositions[T comparable](interner interface{ All(func(uint32, T)) }, compare func(a, b T) int) ([]T, map[uint32]uint32) {
	type numbered struct {
		number uint32
		item   T
	}
	var all []numbered
	interner.All(func(number uint32, item T) { all = append(all, numbered{number, item}) })
	slices.SortFunc(all, func(a, b numbered) int { return compare(a.item, b.item) })
	items, positions := make([]T, len(all)), map[uint32]uint32{0: 0}
	for i, pair := range all {
		items[i] = pair.item
		positions[pair.number] = uint32(i) + 1
	}
	return items, positions
}

// Encode writes the image to w. Equal states give equal bytes.
func (m *Image) Encode(w io.Writer) error {
	if err := writePart(w, m.header); err != nil {
		return err
	}
	for part := range slices.Chunk(m.answers, partItems) {
		message := &encoder.RegistryAnswers{}
		for _, answer := range part {
			message.Items = append(message.Items, encoder.EncodeAnswer(answer.expand()))
		}
		if err := writePart(w, message); err != nil {
			return err
		}
	}
	jobs := slices.AppendSeq(make([]specifier.JobID, 0, len(m.submissions)), maps.Keys(m.submissions))
	slices.SortFunc(jobs, func(a, b specifier.JobID) int { return bytes.Compare(a[:], b[:]) })
	for part := range slices.Chunk(jobs, partItems) {
		if err := writePart(w, m.encodeColumns(part)); err != nil {
			return err
		}
	}
	return nil
}

func (m *Image) encodeColumns(jobs []specifier.JobID) *encoder.RegistrySubmissions {
	columns := &encoder.RegistrySubmissions{}
	for _, job := range jobs {
		record := m.submissions[job]
		columns.Jobs = append(columns.Jobs, job[:]...)
		columns.Digests = append(columns.Digests, record.digest[:]...)
		columns.Accepted = append(columns.Accepted, record.acceptedIndex)
		columns.Epochs = append(columns.Epochs, record.epoch)
		columns.Keeps = append(columns.Keeps, uint32(record.keepUntil))
		columns.Owners = append(columns.Owners, m.ownerPositions[record.owner])
		columns.Answers = append(columns.Answers, m.answerPositions[record.answer])
		columns.Helds = append(columns.Helds, uint32(record.refusedUntil))
		columns.Phases = append(columns.Phases, byte(record.phase))
	}
	return columns
}

func writePart(w io.Writer, message proto.Message) error {
	options := protodelim.MarshalOptions{MarshalOptions: proto.MarshalOptions{Deterministic: true}}
	_, err := options.MarshalTo(w, message)
	return err
}

func (d departure) encode() *encoder.RegistryDeparture {
	return &encoder.RegistryDeparture{Identity: encoder.EncodeIdentity(d.identity), Role: string(d.role), Index: d.index,
		Keep: d.keepUntil.UnixNano()}
}

func (q request) encode() *encoder.RegistryRequest {
	return &encoder.RegistryRequest{Id: q.id, Digest: q.digest[:], Operator: q.operator,
		Decision: encoder.EncodeDecision(q.decision), Keep: q.keepUntil.UnixNano()}
}
