package invoker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
)

// Invoker performs Run actions. Use New.
type Invoker struct {
	client *http.Client
}

// New returns an invoker with its own pool of at most the given number of connections.
func New(connections int) *Invoker {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     90 * time.Second,
	}
	return &Invoker{client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// Close closes the idle connections.
func (i *Invoker) Close() { i.client.CloseIdleConnections() }

// Invoke calls the upstream and returns how the call ended.
func (i *Invoker) Invoke(ctx context.Context, run executor.Run) executor.RunEnded {
	ended := executor.RunEnded{Key: run.Key}
	ctx, cancel := context.WithDeadline(ctx, run.Deadline)
	defer cancel()
	body, status, err := i.post(ctx, run)
	switch {
	case err != nil && neverSent(err):
		ended.NotStarted, ended.Detail = true, err.Error()
	case err != nil:
		ended.Broken, ended.Detail = true, err.Error()
	case status < 200 || status > 299:
		ended.Broken, ended.Detail = true, fmt.Sprintf("the upstream answered with status %d", status)
	case len(body) > specifier.MaxResult:
		ended.Broken, ended.Detail = true, fmt.Sprintf("the result has more than %d bytes", specifier.MaxResult)
	default:
		ended.Body = body
	}
	return ended
}

func (i *Invoker) post(ctx context.Context, run executor.Run) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+run.Addr.String()+"/tasks", bytes.NewReader(run.Payload))
	if err != nil {
		return nil, 0, errors.Wrap(err, "invoker: build the request")
	}
	// The request has no Idempotency-Key header: with one, net/http repeats a POST whose connection broke, and
	// the task could run twice. Without GetBody, net/http can't repeat the request at all.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Oleandertally-Job", run.Key.Job.String())
	request.Header.Set("Oleandertally-Task", run.Key.Task)
	response, err := i.client.Do(request)
	if err != nil {
		return nil, 0, errors.Wrap(err, "invoker: call the upstream")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, specifier.MaxResult+1))
	return body, response.StatusCode, errors.Wrap(err, "invoker: read the result")
}

// neverSent reports whether the error proves that no byte reached the upstream, because the connection could not be made.
func neverSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// refuseRedirect prevents a redirect from sending the task to another host.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
