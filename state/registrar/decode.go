package registrar

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// maxPartSize is the maximum size of a part in bytes. The largest part is a header whose lists are all at their limits.
const maxPartSize = 64 << 20

// Decode reads an image that Image.Encode wrote. Errors name the invalid field.
func Decode(source io.Reader, maxSubmissions int) (*Registrar, error) {
	d := &decoder{reader: bufio.NewReaderSize(source, 1<<16), registrar: New(maxSubmissions)}
	header := &encoder.RegistryHeader{}
	if err := d.readPart(header); err != nil {
		return nil, errors.Wrap(err, "RegistryHeader")
	}
	if err := d.decodeHeader(header); err != nil {
		return nil, errors.Wrap(err, "RegistryHeader")
	}
	if err := d.readAnswers(header.Answers); err != nil {
		return nil, errors.Wrap(err, "RegistryAnswers")
	}
	if err := d.readSubmissions(header.Submissions); err != nil {
		return nil, errors.Wrap(err, "RegistrySubmissions")
	}
	if _, err := d.reader.ReadByte(); err != io.EOF {
		return nil, errors.Newf("bytes follow the last part")
	}
	return d.registrar, nil
}

// decoder fills a registrar from the parts of an image.
type decoder struct {
	reader    *bufio.Reader
	registrar *Registrar
	owners    []specifier.Identity
	answers   []answer
	lastJob   []byte // job ID of the previous submission
}

func (d *decoder) readPart(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxPartSize}.UnmarshalFrom(d.reader, message)
}

func (d *decoder) decodeHeader(m *encoder.RegistryHeader) error {
	r := d.registrar
	configuration, err := encoder.DecodeConfiguration(m.Configuration)
	if err != nil {
		return err
	}
	r.index, r.now, r.configuration, r.lastOperator = m.Index, time.Unix(0, m.Now), configuration, m.Changed
	r.memberVersion = m.MemberVersion
	for _, item := range m.Members {
		member, err := encoder.DecodeMember(item)
		if err != nil {
			return errors.Wrap(err, "Members")
		}
		r.members[member.Name] = member
	}
	for _, name := range m.Draining {
		r.draining[name] = true
	}
	for _, item := range m.Departed {
		id, err := encoder.DecodeIdentity(item.Identity)
		if err != nil {
			return errors.Wrap(err, "Departed")
		}
		r.departed.add(departure{identity: id, role: specifier.Role(item.Role), index: item.Index, keepUntil: time.Unix(0, item.Keep)})
	}
	for _, item := range m.Requests {
		if err := d.decodeRequest(item); err != nil {
			return errors.Wrap(err, "Requests")
		}
	}
	for _, item := range m.Owners {
		owner, err := encoder.DecodeIdentity(item)
		if err != nil {
			return errors.Wrap(err, "Owners")
		}
		d.owners = append(d.owners, owner)
	}
	return nil
}

func (d *decoder) decodeRequest(m *encoder.RegistryRequest) error {
	decision, err := encoder.DecodeDecision(m.Decision)
	if err != nil {
		return err
	}
	if len(m.Digest) != len(specifier.Digest{}) {
		return errors.Newf("Digest: has %d bytes", len(m.Digest))
	}
	d.registrar.requests.add(request{id: m.Id, digest: specifier.Digest(m.Digest), operator: m.Operator, decision: decision,
		keepUntil: time.Unix(0, m.Keep)})
	return nil
}

func (d *decoder) readAnswers(count uint64) error {
	for uint64(len(d.answers)) < count {
		message := &encoder.RegistryAnswers{}
		if err := d.readPart(message); err != nil {
			return err
		}
		if len(message.Items) == 0 {
			return errors.New("Items: is empty")
		}
		for _, item := range message.Items {
			answer, err := encoder.DecodeAnswer(item)
			if err != nil {
				return err
			}
			d.answers = append(d.answers, newAnswer(answer))
		}
	}
	return nil
}

func (d *decoder) readSubmissions(count uint64) error {
	r := d.registrar
	for uint64(len(r.submissions)) < count {
		columns := &encoder.RegistrySubmissions{}
		if err := d.readPart(columns); err != nil {
			return err
		}
		if err := d.decodeColumns(columns); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) decodeColumns(m *encoder.RegistrySubmissions) error {
	rows := len(m.Phases)
	lengths := []int{len(m.Jobs) / 16, len(m.Digests) / 16, len(m.Accepted), len(m.Epochs), len(m.Keeps), len(m.Owners), len(m.Answers), len(m.Helds)}
	if rows == 0 || slices.ContainsFunc(lengths, func(n int) bool { return n != rows }) {
		return errors.Newf("Phases: has %d rows, other columns have %v", rows, lengths)
	}
	for i := range rows {
		job := m.Jobs[16*i : 16*i+16]
		if d.lastJob != nil && bytes.Compare(d.lastJob, job) >= 0 {
			return errors.Newf("Jobs: row %d is not in ascending order", i)
		}
		d.lastJob = job
		record := submission{digest: digest(m.Digests[16*i : 16*i+16]), acceptedIndex: m.Accepted[i], epoch: m.Epochs[i],
			keepUntil: seconds(m.Keeps[i]), refusedUntil: seconds(m.Helds[i]), phase: phase(m.Phases[i])}
		if err := d.resolveReferences(&record, m.Owners[i], m.Answers[i]); err != nil {
			return errors.Wrapf(err, "row %d", i)
		}
		d.registrar.submissions[specifier.JobID(job)] = record
		d.registrar.expiring.Push(expiry{keepUntil: record.keepUntil, job: specifier.JobID(job)})
	}
	return nil
}

// resolveReferences replaces the positions of the owner and the answer of a row by interned numbers.
func (d *decoder) resolveReferences(record *submission, owner, answer uint32) error {
	hasAnswer := record.phase == finished || record.phase == cancelled || record.phase == refused
	switch {
	case record.phase < owned || record.phase > refused:
		return errors.Newf("Phases: is %d, expected %d to %d", record.phase, owned, refused)
	case int(owner) > len(d.owners) || (owner == 0) != (record.epoch == 0):
		return errors.Newf("Owners: is %d of %d", owner, len(d.owners))
	case int(answer) > len(d.answers) || (answer != 0) != hasAnswer:
		return errors.Newf("Answers: is %d of %d", answer, len(d.answers))
	}
	if owner > 0 {
		record.owner = d.registrar.owners.Acquire(d.owners[owner-1])
	}
	if answer > 0 {
		record.answer = d.registrar.answers.Acquire(d.answers[answer-1])
	}
	return nil
}
