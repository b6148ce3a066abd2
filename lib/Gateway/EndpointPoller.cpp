#include "corianderscale/Gateway/EndpointPoller.h"

namespace coriander {

namespace {

constexpr Duration PollTimeout = std::chrono::seconds(1);

} // namespace

EndpointPoller::EndpointPoller(GatewayHooks &hooks,
                               EndpointDirectory &directory,
                               Duration interval,
                               LeavingHook leaving)
    : m_hooks(hooks)
    , m_directory(directory)
    , m_interval(interval)
    , m_leavingHook(std::move(leaving))
{
}

void EndpointPoller::setAnsweredHook(std::function<void()> answered)
{
    m_answered = std::move(answered);
}

void EndpointPoller::poll()
{
    const MonotonicTime now = m_hooks.clock.now();
    std::erase_if(m_due, [this](const auto &item) { return m_directory.find(item.first) == nullptr; });
    for (const auto &[id, entry] : m_directory.entries()) {
        const auto [due, isNew] = m_due.try_emplace(id, now);
        if (!entry.listed || due->second > now) {
            continue;
        }
        // The first interval of an endpoint is a random part of the interval, which spreads the polls.
        const Duration wait = isNew
            ? Duration(static_cast<std::int64_t>(m_hooks.random() % 1000) * m_interval.count() / 1000)
            : m_interval;
        due->second = now + wait;
        pollEndpoint(entry);
    }
}

void EndpointPoller::pollEndpoint(const EndpointEntry &endpoint)
{
    HttpRequest request;
    request.path = "/v1/endpoint";
    m_hooks.send(endpoint.address,
                 request,
                 m_hooks.clock.now() + PollTimeout,
                 [this, id = endpoint.id](const std::optional<HttpResponse> &response, const TransportError &) {
                     m_hooks.post([this, id, response] { onAnswer(id, response); });
                 });
}

void EndpointPoller::onAnswer(const EndpointId &endpoint, const std::optional<HttpResponse> &response)
{
    if (!response || response->status != 200) {
        return;
    }
    ProtocolError error;
    const auto info = decodeMessage<EndpointInfo>(response->body, error);
    // The address of a removed endpoint may have been assigned to another one.
    if (!info || info->id != endpoint) {
        return;
    }
    if (m_directory.applyPollAnswer(*info, m_hooks.clock.now())) {
        m_leavingHook(info->id, info->incarnation);
    }
    if (m_answered) {
        m_answered();
    }
}

} // namespace coriander
