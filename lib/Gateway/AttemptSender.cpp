#include "corianderscale/Gateway/AttemptSender.h"

#include <memory>

namespace coriander {

namespace {

constexpr Duration FenceTimeout = std::chrono::seconds(1);

std::optional<EndpointRefusal> decodeRefusal(const HttpResponse &response)
{
    ProtocolError error;
    return decodeMessage<EndpointRefusal>(response.body, error);
}

} // namespace

AttemptResult classifyResponse(const AttemptId &attempt,
                               const std::optional<HttpResponse> &response,
                               const TransportError &error)
{
    AttemptResult result;
    if (!response) {
        result.end = error.code == TransportCode::Unreachable ? AttemptEnd::Unsent : AttemptEnd::Uncertain;
        result.code = error.code == TransportCode::Unreachable ? "unreachable" : "no-answer";
        result.reason = error.reason;
        return result;
    }
    const std::string namedAttempt = response->header(AttemptIdHeader);
    if (!namedAttempt.empty()) {
        if (namedAttempt != attempt.value()) {
            result.code = "wrong-attempt";
            result.reason = "the answer of the endpoint names another attempt";
            return result;
        }
        if (response->header(ContentDigestHeader) != contentDigest(response->body)) {
            result.code = "wrong-digest";
            result.reason = "the answer body does not match its Content-Digest";
            return result;
        }
        result.end = AttemptEnd::Answered;
        result.status = response->status;
        result.body = response->body;
        return result;
    }
    const auto refusal = response->status >= 400 ? decodeRefusal(*response) : std::nullopt;
    if (refusal && !refusal->started) {
        result.end = AttemptEnd::NotStarted;
        result.code = refusal->code;
        result.reason = "the endpoint refused the attempt: " + refusal->code;
        return result;
    }
    result.code = refusal ? refusal->code : "unnamed-answer";
    result.reason = "the answer of the endpoint does not name the attempt";
    return result;
}

AttemptSender::AttemptSender(GatewayHooks &hooks, EndpointDirectory &directory, ServiceTiming &timing)
    : m_hooks(hooks)
    , m_directory(directory)
    , m_timing(timing)
{
}

void AttemptSender::setLeavingHook(LeavingHook hook)
{
    m_leavingHook = std::move(hook);
}

void AttemptSender::send(const Attempt &attempt, SlotLease lease, Done done)
{
    ++m_sends;
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/run/" + attempt.service.value();
    request.headers[AttemptIdHeader] = attempt.id.value();
    request.headers[StartByHeader] = std::to_string(attempt.startByUnixMs);
    request.body = attempt.body;
    const auto shared = std::make_shared<SlotLease>(std::move(lease));
    const MonotonicTime sentAt = m_hooks.clock.now();
    m_hooks.send(
        shared->address,
        request,
        attempt.deadline,
        [this, shared, id = attempt.id, service = attempt.service, sentAt, done = std::move(done)](
            const std::optional<HttpResponse> &response, const TransportError &error) {
            m_hooks.post([this, shared, service, sentAt, done, result = classifyResponse(id, response, error)] {
                recordResult(shared->endpoint, shared->incarnation, service, result, m_hooks.clock.now() - sentAt);
                shared->release();
                done(result);
            });
        });
}

void AttemptSender::recordResult(const EndpointId &endpoint,
                                 const InstanceId &incarnation,
                                 const ServiceName &service,
                                 const AttemptResult &result,
                                 Duration took)
{
    const bool good = result.end == AttemptEnd::Answered || result.end == AttemptEnd::NotStarted;
    m_directory.recordSend(endpoint, good ? SendHealth::Good : SendHealth::Bad, m_hooks.clock.now());
    if (result.end == AttemptEnd::Answered) {
        m_timing.recordRunTime(service, took);
    }
    m_slotFull += result.code == "slot-full" ? 1 : 0;
    if (result.code == "leaving" && m_directory.setLeaving(endpoint, incarnation) && m_leavingHook) {
        m_leavingHook(endpoint, incarnation);
    }
}

void AttemptSender::fence(const std::string &address, const AttemptId &attempt, AttemptStatusDone done)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/attempts/" + attempt.value() + "/fence";
    m_hooks.send(
        address,
        request,
        m_hooks.clock.now() + FenceTimeout,
        [this, attempt, done = std::move(done)](const std::optional<HttpResponse> &response, const TransportError &) {
            std::optional<AttemptStatus> status;
            ProtocolError error;
            if (response && response->status == 200) {
                status = decodeMessage<AttemptStatus>(response->body, error);
            }
            if (status && status->attempt != attempt) {
                status.reset();
            }
            m_hooks.post([done, status = std::move(status)] { done(status); });
        });
}

std::int64_t AttemptSender::sends() const
{
    return m_sends;
}

std::int64_t AttemptSender::slotFull() const
{
    return m_slotFull;
}

} // namespace coriander
