package encoder

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a field that one direction of the conversion omits.
func TestDecisionSurvivesConversion(t *testing.T) {
	decision := specifier.Decision{Verdict: specifier.Finished, Owner: owner, OwnerAddr: netip.MustParseAddrPort("[::1]:8"),
		OwnerDown: true, Epoch: 2, Revision: 9, Answer: specifier.Fail(specifier.TimedOut, "late", true),
		Departed: []specifier.Identity{owner}, Operator: "o", Detail: "d", Leader: netip.MustParseAddrPort("127.0.0.1:7")}
	decoded, err := DecodeDecision(EncodeDecision(decision))
	must.NoError(t, err)
	must.Eq(t, decision, decoded)
}

// Guards against a decision without the fields that its verdict requires, such as the owner that an attached caller waits for.
func TestDecisionRefusesInvalidFields(t *testing.T) {
	for field, decision := range map[string]specifier.Decision{
		"Decision.Verdict": {Verdict: "Maybe"},
		"Decision.Epoch":   {Verdict: specifier.Accepted},
		"Decision.Owner":   {Verdict: specifier.Attached, Epoch: 1},
		"Decision.Answer":  {Verdict: specifier.Finished},
	} {
		t.Run(field, func(t *testing.T) {
			_, err := DecodeDecision(EncodeDecision(decision))
			must.ErrorContains(t, err, field)
		})
	}
}

// Guards against a Detail from an upstream that protobuf or the receiver refuses because it is too long or not UTF-8.
func TestAnswerTruncatesDetail(t *testing.T) {
	m := EncodeAnswer(specifier.Fail(specifier.TaskFailed, strings.Repeat("é", specifier.MaxDetail)+"\xff", false))
	_, err := DecodeAnswer(m)
	must.NoError(t, err)
}

// Guards against conversions that lose a value, and against bytes that depend on map order.
func TestConfigurationSurvivesConversion(t *testing.T) {
	configuration := specifier.Configuration{Revision: 4,
		Profiles: map[string]specifier.Profile{"a": {Name: "a", Service: "s"}, "hold": profile},
		Teams:    map[string]specifier.Team{"t": {Name: "t", Share: 2}}}
	m := EncodeConfiguration(configuration)
	must.Eq(t, "a", m.Profiles[0].Name)
	decoded, err := DecodeConfiguration(m)
	must.NoError(t, err)
	must.Eq(t, configuration, decoded)
	m.Profiles[1].Name = "a"
	_, err = DecodeConfiguration(m)
	must.ErrorContains(t, err, "Configuration.Profiles[1].Name")
}

// Guards against an advance of the clock that would expire every remembered submission.
func TestBatchRefusesAdvance(t *testing.T) {
	_, err := DecodeBatch(EncodeBatch(specifier.Batch{Advance: 25 * time.Hour}))
	must.ErrorContains(t, err, "LogBatch.Advance")
	batch := specifier.Batch{Advance: time.Second, Commands: []specifier.Command{specifier.CancelJob{Job: specifier.JobID{1}}}}
	decoded, err := DecodeBatch(EncodeBatch(batch))
	must.NoError(t, err)
	must.Eq(t, batch, decoded)
}
