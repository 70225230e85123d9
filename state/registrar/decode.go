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

// maxPart bounds one part: the header with all its lists at their limits is the largest.
const maxPart = 64 << 20

// Decode reads what Image.Encode wrote. Errors name the field.
func Decode(source io.Reader, maxSubmissions int) (*Registrar, error) {
	d := &decoder{reader: bufio.NewReaderSize(source, 1<<16), registrar: New(maxSubmissions)}
	header := &encoder.RegistryHeader{}
	if err := d.part(header); err != nil {
		return nil, errors.Wrap(err, "RegistryHeader")
	}
	if err := d.header(header); err != nil {
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
	last      []byte // job of the submission before
}

func (d *decoder) part(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxPart}.UnmarshalFrom(d.reader, message)
}

func (d *decoder) header(m *encoder.RegistryHeader) error {
	r := d.registrar
	configuration, err := encoder.DecodeConfiguration(m.Configuration)
	if err != nil {
		return err
	}
	r.index, r.now, r.configuration, r.changed = m.Index, time.Unix(0, m.Now), configuration, m.Changed
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
		r.departed.add(departure{identity: id, role: specifier.Role(item.Role), index: item.Index, keep: time.Unix(0, item.Keep)})
	}
	for _, item := range m.Requests {
		if err := d.request(item); err != nil {
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

func (d *decoder) request(m *encoder.RegistryRequest) error {
	decision, err := encoder.DecodeDecision(m.Decision)
	if err != nil {
		return err
	}
	if len(m.Digest) != len(specifier.Digest{}) {
		return errors.Newf("Digest: has %d bytes", len(m.Digest))
	}
	d.registrar.requests.add(request{id: m.Id, digest: specifier.Digest(m.Digest), operator: m.Operator, decision: decision,
		keep: time.Unix(0, m.Keep)})
	return nil
}

func (d *decoder) readAnswers(count uint64) error {
	for uint64(len(d.answers)) < count {
		message := &encoder.RegistryAnswers{}
		if err := d.part(message); err != nil {
			return err
		}
		if len(message.Items) == 0 {
			return errors.New("Items: is empty")
		}
		for _, item := range message.Items {
			one, err := encoder.DecodeAnswer(item)
			if err != nil {
				return err
			}
			d.answers = append(d.answers, answerOf(one))
		}
	}
	return nil
}

func (d *decoder) readSubmissions(count uint64) error {
	r := d.registrar
	for uint64(len(r.submissions)) < count {
		columns := &encoder.RegistrySubmissions{}
		if err := d.part(columns); err != nil {
			return err
		}
		if err := d.columns(columns); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) columns(m *encoder.RegistrySubmissions) error {
	rows := len(m.Phases)
	lengths := []int{len(m.Jobs) / 16, len(m.Digests) / 16, len(m.Accepted), len(m.Epochs), len(m.Keeps), len(m.Owners), len(m.Answers), len(m.Helds)}
	if rows == 0 || slices.ContainsFunc(lengths, func(n int) bool { return n != rows }) {
		return errors.Newf("Phases: has %d rows, other columns have %v", rows, lengths)
	}
	for i := range rows {
		job := m.Jobs[16*i : 16*i+16]
		if d.last != nil && bytes.Compare(d.last, job) >= 0 {
			return errors.Newf("Jobs: row %d is not in ascending order", i)
		}
		d.last = job
		known := submission{digest: digest(m.Digests[16*i : 16*i+16]), accepted: m.Accepted[i], epoch: m.Epochs[i],
			keep: seconds(m.Keeps[i]), held: seconds(m.Helds[i]), phase: phase(m.Phases[i])}
		if err := d.refer(&known, m.Owners[i], m.Answers[i]); err != nil {
			return errors.Wrapf(err, "row %d", i)
		}
		d.registrar.submissions[specifier.JobID(job)] = known
		d.registrar.expiring.Push(expiry{keep: known.keep, job: specifier.JobID(job)})
	}
	return nil
}

// refer resolves the positions of a row.
func (d *decoder) refer(known *submission, owner, outcome uint32) error {
	done := known.phase == finished || known.phase == cancelled || known.phase == refused
	switch {
	case known.phase < owned || known.phase > refused:
		return errors.Newf("Phases: is %d, expected %d to %d", known.phase, owned, refused)
	case int(owner) > len(d.owners) || (owner == 0) != (known.epoch == 0):
		return errors.Newf("Owners: is %d of %d", owner, len(d.owners))
	case int(outcome) > len(d.answers) || (outcome != 0) != done:
		return errors.Newf("Answers: is %d of %d", outcome, len(d.answers))
	}
	if owner > 0 {
		known.owner = d.registrar.owners.Acquire(d.owners[owner-1])
	}
	if outcome > 0 {
		known.answer = d.registrar.answers.Acquire(d.answers[outcome-1])
	}
	return nil
}
