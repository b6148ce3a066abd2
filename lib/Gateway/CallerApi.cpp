#include "corianderscale/Gateway/CallerApi.h"

#include "corianderscale/Gateway/GatewayReplies.h"

#include <charconv>

namespace coriander {

namespace {

constexpr char KeyHeader[] = "Request-Key";
constexpr char UrgencyHeader[] = "Urgency";
constexpr char DeadlineHeader[] = "Deadline-Unix-Ms";
constexpr std::int64_t DefaultListLimit = 100;
constexpr std::int64_t MaximumListLimit = 1000;

void sendInvalid(const HttpRespond &respond, const std::string &reason)
{
    respond(errorResponse({"invalid", Outcome::Rejected, reason, 0}));
}

std::optional<std::int64_t> parsePositiveNumber(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && value > 0 ? std::optional(value) : std::nullopt;
}

/** Reads the headers of a request; sets @p fault when a header is invalid. */
IncomingRequest readRequest(const HttpRequest &http, const CallerKey &caller, std::string &fault)
{
    IncomingRequest request;
    request.caller = caller;
    request.body = http.body;
    const std::string key = http.header(KeyHeader);
    if (!key.empty() && !RequestService::isValidKey(key)) {
        fault = "Request-Key: expected 1 to 128 of A-Z a-z 0-9 . _ : -";
    }
    request.key = RequestKey(key);
    const std::string urgency = http.header(UrgencyHeader);
    const auto parsed = urgency.empty() ? std::optional(Urgency::Normal) : parseUrgency(urgency);
    if (!parsed) {
        fault = "Urgency: expected one of: urgent, normal, background";
    }
    request.urgency = parsed.value_or(Urgency::Normal);
    const std::string deadline = http.header(DeadlineHeader);
    const auto unixMs = parsePositiveNumber(deadline);
    if (!deadline.empty() && !unixMs) {
        fault = "Deadline-Unix-Ms: expected whole milliseconds since 1970";
    }
    // Clamped to the year 9999: later times overflow the microsecond clock and cannot be meant as deadlines.
    constexpr std::int64_t LatestUnixMs = 253'402'300'799'000;
    request.deadlineUnixMs = std::min(unixMs.value_or(0), LatestUnixMs);
    return request;
}

} // namespace

CallerApi::CallerApi(RequestService &requests, JobService &jobs)
    : m_requests(requests)
    , m_jobs(jobs)
    , m_document(std::make_shared<Document>())
    , m_authenticator(std::make_unique<Authenticator>(*m_document))
{
}

void CallerApi::setDocument(std::shared_ptr<const Document> document)
{
    m_document = std::move(document);
    m_authenticator = std::make_unique<Authenticator>(*m_document);
}

std::shared_ptr<const Document> CallerApi::document() const
{
    return m_document;
}

void CallerApi::stopAcceptingWork()
{
    m_refusesWork = true;
}

std::optional<CallerKey> CallerApi::authenticate(const HttpRequest &request, const HttpRespond &respond) const
{
    auto caller = m_authenticator->findCaller(request.header("Authorization"));
    if (!caller) {
        respond(errorResponse({"unauthenticated", Outcome::Rejected, "the bearer token of a caller is required", 0}));
    }
    return caller;
}

bool CallerApi::checkAcceptsWork(const HttpRespond &respond) const
{
    if (m_refusesWork) {
        respond(errorResponse(
            {"overloaded", Outcome::Rejected, "this gateway is shutting down; use another gateway", 100}));
    }
    return !m_refusesWork;
}

void CallerApi::postRequest(const HttpRequest &request, const std::string &service, const HttpRespond &respond)
{
    const auto caller = authenticate(request, respond);
    if (!caller || !checkAcceptsWork(respond)) {
        return;
    }
    const ServiceSpec *spec = m_document->findService(ServiceName(service));
    if (spec == nullptr) {
        respond(errorResponse({"not-found", Outcome::Rejected, "there is no such service", 0}));
        return;
    }
    std::string fault;
    IncomingRequest incoming = readRequest(request, *caller, fault);
    incoming.service = spec->name;
    if (static_cast<std::int64_t>(request.body.size()) > spec->maximumBodyBytes) {
        fault = "the body is larger than maximum_body_bytes of the service";
    }
    if (!spec->idempotent && incoming.key.empty()) {
        fault = "Request-Key: required for a service that is not idempotent";
    }
    if (!fault.empty()) {
        sendInvalid(respond, fault);
        return;
    }
    m_requests.submit(incoming, *spec, respond);
}

void CallerApi::getRequest(const HttpRequest &request, const std::string &key, const HttpRespond &respond)
{
    const auto caller = authenticate(request, respond);
    if (!caller) {
        return;
    }
    if (!RequestService::isValidKey(key)) {
        respond(errorResponse({"not-found", Outcome::Rejected, "no request has this key", 0}));
        return;
    }
    m_requests.get(*caller, RequestKey(key), respond);
}

void CallerApi::postJob(const HttpRequest &request, const HttpRespond &respond)
{
    const auto caller = authenticate(request, respond);
    if (caller && checkAcceptsWork(respond)) {
        m_jobs.submit(*caller, request.body, respond);
    }
}

void CallerApi::listJobs(const HttpRequest &request, const HttpRespond &respond)
{
    const auto caller = authenticate(request, respond);
    if (!caller) {
        return;
    }
    const std::string limit = request.parameter("limit");
    const auto parsed = limit.empty() ? std::optional(DefaultListLimit) : parsePositiveNumber(limit);
    const std::string after = request.parameter("after");
    if (!parsed || *parsed > MaximumListLimit || after.size() > 256) {
        sendInvalid(respond, "limit: expected 1 to 1000; after: expected the value of next");
        return;
    }
    m_jobs.list(*caller, after, *parsed, respond);
}

void CallerApi::getJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond)
{
    if (const auto caller = authenticate(request, respond)) {
        m_jobs.get(*caller, JobId(id), respond);
    }
}

void CallerApi::deleteJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond)
{
    if (const auto caller = authenticate(request, respond)) {
        m_jobs.cancel(*caller, JobId(id), respond);
    }
}

} // namespace coriander
