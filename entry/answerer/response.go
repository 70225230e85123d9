package answerer

import (
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"oleandertally/core/specifier"
)

// Response is the body of every answer.
type Response struct {
	Outcome    specifier.Outcome
	Reason     specifier.Reason `json:",omitempty"`
	Detail     string           `json:",omitempty"`
	MayHaveRun bool             // only with Failed
	RetryAfter string           `json:",omitempty"` // a Go duration, only with NotRun
	Results    []TaskResult     `json:",omitempty"` // only with Complete, in the order of the tasks
}

func newResponse(answer specifier.Answer) Response {
	response := Response{Outcome: answer.Outcome, Reason: answer.Reason, Detail: answer.Detail, MayHaveRun: answer.MayHaveRun}
	if answer.RetryAfter > 0 {
		response.RetryAfter = answer.RetryAfter.String()
	}
	for _, result := range answer.Results {
		response.Results = append(response.Results, newTaskResult(result))
	}
	return response
}

func newTaskResult(result specifier.Result) TaskResult {
	switch {
	case json.Valid(result.Body):
		return TaskResult{Id: result.Task, Result: result.Body}
	case utf8.Valid(result.Body):
		text, _ := json.Marshal(string(result.Body))
		return TaskResult{Id: result.Task, Result: text}
	}
	return TaskResult{Id: result.Task, Base64: result.Body}
}

// statusOf returns the HTTP status of an answer. The body is authoritative; the status is for
// load balancers and logs.
func statusOf(answer specifier.Answer) int {
	switch answer.Reason {
	case "":
		return http.StatusOK
	case specifier.Invalid:
		return http.StatusBadRequest
	case specifier.Unauthorized:
		return http.StatusUnauthorized
	case specifier.UnknownProfile, specifier.UnknownTeam, specifier.DeadlinePast:
		return http.StatusUnprocessableEntity
	case specifier.KeyReused, specifier.Cancelled:
		return http.StatusConflict
	case specifier.KeyExpired, specifier.ResultsLost:
		return http.StatusGone
	case specifier.QuotaExceeded:
		return http.StatusTooManyRequests
	case specifier.TimedOut, specifier.StillRunning:
		return http.StatusGatewayTimeout
	case specifier.TaskFailed, specifier.WorkerLost, specifier.OwnerLost, specifier.Superseded:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
