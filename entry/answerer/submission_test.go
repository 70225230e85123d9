package answerer

import (
	"net/http"
	"strings"
	"testing"

	"oleandertally/core/specifier"
)

// TestBodiesThatAreInvalid guards against accepting a body that is ambiguous because of repeated names, or that has no
// time left.
func TestBodiesThatAreInvalid(t *testing.T) {
	for name, body := range map[string]string{
		"negative TimeLeft":            strings.Replace(submission, `"1s"`, `"-1s"`, 1),
		"no TimeLeft":                  strings.Replace(submission, `"1s"`, `"0s"`, 1),
		"Team twice":                   strings.Replace(submission, `"Profile"`, `"Team":"b","Profile"`, 1),
		"Team twice in another case":   strings.Replace(submission, `"Profile"`, `"team":"b","Profile"`, 1),
		"Id of a task twice":           strings.Replace(submission, `"Payload"`, `"Id":"b","Payload"`, 1),
		"Team again after the payload": strings.Replace(submission, `}]}`, `}],"Team":"b"}`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			mustRefuse(t, newHandler(), body, http.StatusBadRequest, specifier.Invalid, len(body))
		})
	}
}

// TestPayloadsMayRepeatNames guards against treating names inside the caller's payload as names of the body.
func TestPayloadsMayRepeatNames(t *testing.T) {
	body := strings.Replace(submission, `"Payload":1`, `"Payload":{"a":1,"a":2,"Team":"x"}`, 1)
	if name, found := repeatedName([]byte(body)); found {
		t.Fatalf("%s is taken for a name of the body", name)
	}
}
