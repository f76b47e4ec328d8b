package forwarder

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"eelgrasspoint"
	"eelgrasspoint/coordination/retrier"
	"eelgrasspoint/protocol/propagator"
	"eelgrasspoint/transport/interrupter"
	"eelgrasspoint/transport/relayer"
	"eelgrasspoint/transport/replayer"
)

// proxiedRequest is the state of one request at the entry node.
type proxiedRequest struct {
	forwarder *Forwarder
	snapshot  *eelgrasspoint.Snapshot
	// self is the node's own member entry as of the request's arrival; snapshot is reloaded before each
	// choice of a candidate.
	self eelgrasspoint.Member
	// configuration is the one that the request was matched to a route by, nil before.
	configuration *eelgrasspoint.Configuration
	request       *http.Request
	target        string
	matchedRoute  *eelgrasspoint.Route
	meta          eelgrasspoint.RequestMetadata
	body          *replayer.Replayer
	interrupter   *interrupter.Interrupter
	header        http.Header
	tried         []*eelgrasspoint.Candidate
	// lastEnded is the candidate of the attempt that ended last, which need not be the last of tried: attempts
	// are concurrent with a hedge.
	lastEnded *eelgrasspoint.Candidate
	start     time.Time
	// timeout is the one that the caller set, or zero.
	timeout  time.Duration
	attempts int
	// deliveredAttempts counts the attempts that may have reached a backend server; events name it Arrivals.
	deliveredAttempts atomic.Int32
	// overloaded are the candidates that refused the request because of their load (SlowServer, Overloaded,
	// ColdServer or HangingServer).
	overloaded []*eelgrasspoint.Candidate
	// queueRequested is set when the overloaded candidates become eligible again, at most once; from then
	// on exit nodes are asked to queue the request rather than to refuse it.
	queueRequested bool
	// configurationFetched is set once a stale route has caused a fetch; there is at most one per request.
	configurationFetched bool
	// retryPaid is set if the token of the next retry was taken when the attempt before it was given up.
	retryPaid atomic.Bool
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun atomic.Bool
}

// matchRoute sets the route, the service, the permitted regions and the deadline of the request, or returns
// a refusal.
func (p *proxiedRequest) matchRoute() *eelgrasspoint.OutcomeError {
	r := p.request
	p.configuration = p.snapshot.Configuration
	p.meta.Revision = p.configuration.Revision
	p.matchedRoute = p.snapshot.Router.Match(r.Host, cmp.Or(r.URL.EscapedPath(), "/"), r.Method)
	if p.matchedRoute == nil && p.configuration.Revision.IsZero() {
		return eelgrasspoint.Refuse(eelgrasspoint.NotReady, "the entry node has not loaded a configuration yet")
	}
	if p.matchedRoute == nil {
		return eelgrasspoint.Refuse(eelgrasspoint.NoRoute, "")
	}
	if p.matchedRoute.Refuses() {
		return eelgrasspoint.Refuse(eelgrasspoint.RouteUnreadable, "")
	}
	p.meta.SetRoute(p.matchedRoute)
	if len(p.matchedRoute.Split) > 0 {
		p.meta.Service = p.matchedRoute.PickService(p.forwarder.Random.Float64())
	}
	permitted, allowed := p.snapshot.Router.Permitted(p.matchedRoute, p.meta.Client)
	p.meta.Permitted = permitted
	if !allowed {
		return eelgrasspoint.Refuse(eelgrasspoint.WrongRegion, "")
	}
	p.meta.Deadline = p.start.Add(timeLimit(p.matchedRoute, p.timeout))
	return nil
}

// runAttempts sends the request until it is answered or may not be sent again. Its error has the outcome
// NotRun only if no attempt may have run.
func (p *proxiedRequest) runAttempts(ctx context.Context) (*eelgrasspoint.Answer, *eelgrasspoint.OutcomeError) {
	answer, err := p.retryLoop(ctx)
	if err != nil && err.Outcome == eelgrasspoint.NotRun && p.mayHaveRun.Load() {
		err = &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun, Reason: err.Reason, Detail: err.Detail}
	}
	return answer, err
}

// retryLoop returns the first answer that is not replaced by another attempt, or the error that ended the
// attempts.
func (p *proxiedRequest) retryLoop(ctx context.Context) (*eelgrasspoint.Answer, *eelgrasspoint.OutcomeError) {
	p.header = p.outgoingHeader()
	p.forwarder.Retrier.Deposit(p.meta.Service)
	var lastErr *eelgrasspoint.OutcomeError
	for {
		candidate := p.nextCandidate()
		if candidate == nil {
			return nil, p.noCandidateError(lastErr)
		}
		result := p.send(ctx, candidate)
		if result.err == nil && !p.retryServerError(result) {
			return result.answer, nil
		}
		if result.err == nil {
			continue
		}
		lastErr = p.attemptError(result.err)
		if lastErr.Reason == eelgrasspoint.StaleRoute {
			if err := p.refreshRoute(ctx, result.candidate); err != nil {
				return nil, err
			}
		}
		if !p.tryRetry(result.candidate, lastErr) {
			return nil, lastErr
		}
	}
}

// fetchTimeDivisor bounds a fetch of the configuration to this part of the time that the request has left, so
// that another attempt is still possible if the fetch gets no response.
const fetchTimeDivisor = 4

// refreshRoute matches the request to a route again if the revision in force is newer than the request's; all
// candidates are eligible again then. If it is not newer, the configuration is fetched from the candidate's
// node first. The error is the refusal of the newer revision.
func (p *proxiedRequest) refreshRoute(ctx context.Context, from *eelgrasspoint.Candidate) *eelgrasspoint.OutcomeError {
	if !p.hasNewerRevision() {
		p.fetchConfiguration(ctx, from)
	}
	if !p.hasNewerRevision() {
		return nil
	}
	p.tried, p.overloaded = nil, nil
	return p.matchRoute()
}

// hasNewerRevision reloads the snapshot and reports whether its revision is newer than the request's.
func (p *proxiedRequest) hasNewerRevision() bool {
	p.snapshot = p.forwarder.Holder.Load()
	return p.snapshot.Configuration.Revision.After(p.meta.Revision)
}

// fetchConfiguration fetches the configuration from the candidate's node, at most once per request.
func (p *proxiedRequest) fetchConfiguration(ctx context.Context, from *eelgrasspoint.Candidate) {
	if p.configurationFetched {
		return
	}
	p.configurationFetched = true
	timeLeft := eelgrasspoint.Remaining(p.meta.Deadline, p.forwarder.Clock())
	ctx, cancel := context.WithTimeout(ctx, timeLeft/fetchTimeDivisor)
	defer cancel()
	p.forwarder.Fetch(ctx, from, p.meta.Revision)
}

// outgoingHeader returns the request headers that every attempt sends.
func (p *proxiedRequest) outgoingHeader() http.Header {
	header := p.request.Header.Clone()
	propagator.Strip(header)
	relayer.StripHopByHop(header)
	header.Del("Expect")
	p.forwarder.Contract.RewriteHeader(header, p.request.RemoteAddr)
	return header
}

// attemptError returns err as an OutcomeError. If reading the caller's body failed, its reason is
// BodyCutShort or BodyTooLarge, unless the read was interrupted because the attempt's context had ended.
func (p *proxiedRequest) attemptError(err error) *eelgrasspoint.OutcomeError {
	outcome := eelgrasspoint.AsOutcome(err)
	bodyErr := p.body.Err()
	if bodyErr == nil || errors.Is(bodyErr, os.ErrDeadlineExceeded) {
		return outcome
	}
	reason := eelgrasspoint.BodyCutShort
	if bodyOutcome := eelgrasspoint.AsOutcome(bodyErr); bodyOutcome.Reason == eelgrasspoint.BodyTooLarge {
		reason = eelgrasspoint.BodyTooLarge
	}
	return &eelgrasspoint.OutcomeError{Outcome: outcome.Outcome, Reason: reason, Detail: bodyErr.Error()}
}

// tryRetry reports whether the request is sent again after lastErr, the end of the attempt at the candidate.
// If so, it takes a token, if one is left, from the budget of the next attempt's purpose and records the
// event.
func (p *proxiedRequest) tryRetry(candidate *eelgrasspoint.Candidate, lastErr *eelgrasspoint.OutcomeError) bool {
	if !retrier.MayRetry(p.failure(lastErr), p.forwarder.Clock()) || p.attempts >= eelgrasspoint.MaxTotalAttempts {
		return false
	}
	// The route of a newer revision may not be idempotent, as that of the earlier attempts was.
	if p.mayHaveRun.Load() && !p.meta.Idempotent {
		return false
	}
	purpose := retrier.PurposeOf(lastErr)
	if p.queueRequested && p.queueTimePassed() {
		return false
	}
	paid := purpose == retrier.Retry && p.retryPaid.Swap(false)
	// A redirect goes ahead even without budget, since the last attempt reached no backend server.
	if !paid && !p.forwarder.Retrier.TryWithdraw(p.meta.Service, purpose) && purpose != retrier.Redirect {
		return false
	}
	p.recordRetry(candidate, lastErr)
	return true
}

// failure describes the request after an attempt that ended with err.
func (p *proxiedRequest) failure(err *eelgrasspoint.OutcomeError) retrier.Failure {
	return retrier.Failure{
		Err: err, Idempotent: p.meta.Idempotent, Replayable: p.body.Replayable(),
		Attempts: int(p.deliveredAttempts.Load()), MaxAttempts: int(p.matchedRoute.MaxAttempts), Deadline: p.meta.Deadline,
	}
}

// retryServerError reports whether an answer with a 5xx status is replaced by another attempt, and closes
// the answer if so. It is replaced if the request is idempotent, no attempt but the answered one may have
// reached a backend server, there is another candidate, and tryRetry returns true.
func (p *proxiedRequest) retryServerError(result attemptResult) bool {
	response := result.answer.Response
	if !isServerError(response.StatusCode) || p.deliveredAttempts.Load() > 1 || !p.meta.Idempotent {
		return false
	}
	if p.choose() == nil {
		return false
	}
	if !p.tryRetry(result.candidate, &eelgrasspoint.OutcomeError{Outcome: eelgrasspoint.MayHaveRun}) {
		return false
	}
	response.Body.Close()
	p.mayHaveRun.Store(true)
	return true
}

// queueTimePassed reports whether the request has already taken longer than it may wait for a slot: another
// wait would only delay the refusal.
func (p *proxiedRequest) queueTimePassed() bool {
	target := p.meta.TargetLatency
	maxWait := time.Duration(eelgrasspoint.MaxQueueWaitRatio * float64(target))
	return target > 0 && p.forwarder.Clock().Sub(p.start) > maxWait
}
