package api

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// Code is a numeric result code. Numbers are stable, so callers and tools that read
// logs may rely on them.
type Code int

// Result codes. 1xx: invalid request. 2xx: refused, may be retried later.
// 3xx: started but not completed. 4xx: errors between processes.
// 5xx: service configuration. 9xx: a defect of the software.
const (
	OK Code = 0

	BadRequest          Code = 101
	HeaderTooLarge      Code = 102
	BodyTooLarge        Code = 103
	UnknownRoute        Code = 104
	UnknownOrganisation Code = 105
	KeyMissing          Code = 106
	KeyInvalid          Code = 107
	KeyTooOld           Code = 108
	KeyFromFuture       Code = 109
	KeyConflict         Code = 110
	UnknownModel        Code = 111
	Quarantined         Code = 112
	UnknownAPIKey       Code = 113
	BodyTooSlow         Code = 114

	Overloaded       Code = 201
	ShareExceeded    Code = 202
	DeadlineTooShort Code = 203
	NoBackend        Code = 204
	ColdLimit        Code = 205
	Leaving          Code = 206
	DataCentreOut    Code = 207
	NotCurrent       Code = 208
	LogUnavailable   Code = 209
	WrongIncarnation Code = 210
	Sealed           Code = 211
	NotReady         Code = 212
	Unreachable      Code = 214
	GroupStalled     Code = 215
	CrashSuspect     Code = 216
	ServersResting   Code = 217
	BuffersFull      Code = 219

	Unresolved       Code = 301
	StreamBroken     Code = 302
	DeadlineExceeded Code = 303
	InProgress       Code = 304
	Cancelled        Code = 305
	BackendFailed    Code = 306
	NotResumable     Code = 307

	VersionMismatch Code = 401
	BadFrame        Code = 402
	StaleFence      Code = 403
	UnknownMessage  Code = 404
	OrderRefused    Code = 405
	NotSealed       Code = 406

	ConfigInvalid  Code = 501
	ConfigConflict Code = 502
	ConfigUnknown  Code = 503

	Internal Code = 901
)

// Info describes a Code. docs/RESULT-CODES.md lists the same values.
type Info struct {
	Name    string
	Status  int           // HTTP status of the response to the caller
	Ran     Ran           // default Ran of an Error with this code
	Retry   time.Duration // default Retry-After; 0 if retrying the unchanged request does not help
	Meaning string
}

var codeInfos = map[Code]Info{
	OK: {"ok", http.StatusOK, DidRun, 0, "the whole answer was delivered"},

	BadRequest:          {"bad-request", http.StatusBadRequest, NotRun, 0, "a header, the path or the body is malformed"},
	HeaderTooLarge:      {"header-too-large", http.StatusRequestHeaderFieldsTooLarge, NotRun, 0, "the headers or one name in them exceed the limit"},
	BodyTooLarge:        {"body-too-large", http.StatusRequestEntityTooLarge, NotRun, 0, "the body exceeds the limit"},
	UnknownRoute:        {"unknown-route", http.StatusNotFound, NotRun, 0, "no route of the service matches the path"},
	UnknownOrganisation: {"unknown-organisation", http.StatusForbidden, NotRun, 0, "the organisation is absent or not in the document"},
	KeyMissing:          {"key-missing", http.StatusBadRequest, NotRun, 0, "the route may not repeat and the call carries no idempotency key"},
	KeyInvalid:          {"key-invalid", http.StatusBadRequest, NotRun, 0, "the idempotency key is not a UUIDv7"},
	KeyTooOld:           {"key-too-old", http.StatusGone, NotRun, 0, "the key is older than claims are kept; this attempt did not run, earlier ones may have"},
	KeyFromFuture:       {"key-from-future", http.StatusBadRequest, NotRun, 0, "the key's birth time is ahead of the clock"},
	KeyConflict:         {"key-conflict", http.StatusUnprocessableEntity, NotRun, 0, "the key was used before with other content"},
	UnknownModel:        {"unknown-model", http.StatusNotFound, NotRun, 0, "no backend server of the document serves the model"},
	Quarantined:         {"quarantined", http.StatusUnprocessableEntity, NotRun, 0, "the same request crashed backend servers before and is refused"},
	UnknownAPIKey:       {"unknown-key", http.StatusUnauthorized, NotRun, 0, "the API key is absent or belongs to no organisation of the document in force"},
	BodyTooSlow:         {"body-too-slow", http.StatusRequestTimeout, NotRun, 0, "the caller had not sent the whole body within the request's time"},

	Overloaded:       {"overloaded", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "every eligible backend server is at its limit"},
	ShareExceeded:    {"share-exceeded", http.StatusTooManyRequests, NotRun, 2 * time.Second, "the organisation has used its share while others wait"},
	DeadlineTooShort: {"deadline-too-short", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the answer cannot be completed within the caller's timeout"},
	NoBackend:        {"no-backend", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "no backend server is eligible"},
	ColdLimit:        {"cold-limit", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the backend server is in cold start and at its limit"},
	Leaving:          {"leaving", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the backend server or process is shutting down"},
	DataCentreOut:    {"data-centre-out", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the data centre is taken out"},
	NotCurrent:       {"not-current", http.StatusServiceUnavailable, NotRun, 2 * time.Second, "the process cannot prove that its configuration is current"},
	LogUnavailable:   {"log-unavailable", http.StatusServiceUnavailable, NotRun, 5 * time.Second, "the log service is down, so a call that may not repeat cannot be claimed"},
	WrongIncarnation: {"wrong-incarnation", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the claim names an earlier incarnation of the side process"},
	Sealed:           {"sealed", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "this claim of the key was closed before it ran; the same key may be sent again"},
	NotReady:         {"not-ready", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the process has no configuration yet"},
	Unreachable:      {"unreachable", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "no connection to the backend server's side process; the request was not sent"},
	GroupStalled:     {"group-stalled", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "a rank of the model's group is down and the group stands still"},
	CrashSuspect:     {"crash-suspect", http.StatusServiceUnavailable, NotRun, 10 * time.Minute, "requests with the same part of the prompt, or the same request, crashed backend servers; refused while the evidence stands, or because copies of the suspected request run one at a time"},
	ServersResting:   {"servers-resting", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the backend servers that could take the request have asked for rest"},
	BuffersFull:      {"buffers-full", http.StatusServiceUnavailable, NotRun, 1 * time.Second, "the process holds as much as it may for requests and slow peers, or has no connection to a server left"},

	Unresolved:       {"unresolved", http.StatusBadGateway, MayHaveRun, 0, "the call was sent and its fate cannot be learnt"},
	StreamBroken:     {"stream-broken", http.StatusBadGateway, MayHaveRun, 1 * time.Second, "the answer broke off and the rest cannot be had"},
	DeadlineExceeded: {"deadline-exceeded", http.StatusGatewayTimeout, MayHaveRun, 1 * time.Second, "the caller's timeout passed before the whole answer arrived"},
	InProgress:       {"in-progress", http.StatusConflict, MayHaveRun, 1 * time.Second, "an earlier call with this key is still running"},
	Cancelled:        {"cancelled", 499, MayHaveRun, 0, "the caller went away"},
	BackendFailed:    {"backend-failed", http.StatusBadGateway, MayHaveRun, 1 * time.Second, "the backend server failed while it ran the request"},
	NotResumable:     {"not-resumable", http.StatusBadGateway, MayHaveRun, 1 * time.Second, "the side process is not at the request, or no longer keeps the wanted part of its answer"},

	VersionMismatch: {"version-mismatch", http.StatusBadGateway, NotRun, 0, "two processes share no version of the inner protocol"},
	BadFrame:        {"bad-frame", http.StatusBadGateway, NotRun, 0, "a frame of the inner protocol could not be read"},
	StaleFence:      {"stale-fence", http.StatusConflict, NotRun, 0, "an order carries an old fencing number"},
	UnknownMessage:  {"unknown-message", http.StatusBadGateway, NotRun, 0, "a message of a type that the receiver does not serve"},

	OrderRefused: {"order-refused", http.StatusConflict, NotRun, 0, "the rank cannot carry out the order in its state"},
	NotSealed:    {"not-sealed", http.StatusConflict, NotRun, 0, "the side process has not been sealed by the coordinator since it started"},

	ConfigInvalid:  {"config-invalid", http.StatusBadRequest, NotRun, 0, "the document fails the checks of its format"},
	ConfigConflict: {"config-conflict", http.StatusConflict, NotRun, 0, "the document was changed since the version it is based on"},
	ConfigUnknown:  {"config-unknown", http.StatusBadGateway, MayHaveRun, 0, "the append was sent and its fate is not yet known; read it back"},

	Internal: {"internal", http.StatusInternalServerError, MayHaveRun, 0, "a defect; see the log line with the request id"},
}

// Info returns the description of c, or that of Internal if c is unknown.
func (c Code) Info() Info {
	if info, ok := codeInfos[c]; ok {
		return info
	}
	return codeInfos[Internal]
}

// String returns the number and the name of c, separated by a space.
func (c Code) String() string {
	return fmt.Sprintf("%d %s", int(c), c.Info().Name)
}

// Codes returns all codes in ascending order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeInfos))
	for c := range codeInfos {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}

// Error is the refusal or failure of a request, with the information whether the
// request ran. It is the only error type that is sent between processes and to
// callers.
type Error struct {
	Code       Code
	Ran        Ran
	RetryAfter time.Duration // 0 if retrying the unchanged request does not help
	Detail     string
}

// NewError returns an Error with the default Ran and RetryAfter of code.
func NewError(code Code, detail string) *Error {
	info := code.Info()
	return &Error{Code: code, Ran: info.Ran, RetryAfter: info.Retry, Detail: detail}
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Code.String()
	}
	return e.Code.String() + ": " + e.Detail
}
