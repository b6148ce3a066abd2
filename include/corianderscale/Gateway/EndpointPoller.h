#pragma once

#include "corianderscale/Gateway/EndpointDirectory.h"
#include "corianderscale/Gateway/GatewayHooks.h"

#include <functional>
#include <map>

namespace coriander {

/**
 * Polls the state of every listed endpoint once per interval. The polls of different endpoints are spread over the
 * interval.
 *
 * Thread safety: the gateway's thread.
 */
class EndpointPoller
{
public:
    using LeavingHook = std::function<void(const EndpointId &, const InstanceId &)>;

    EndpointPoller(GatewayHooks &hooks, EndpointDirectory &directory, Duration interval, LeavingHook leaving);

    /** Polls the endpoints that are due. */
    void poll();

    /** Sets a hook that is called after each valid answer, because slots may have become usable. */
    void setAnsweredHook(std::function<void()> answered);

private:
    void pollEndpoint(const EndpointEntry &endpoint);
    void onAnswer(const EndpointId &endpoint, const std::optional<HttpResponse> &response);

    GatewayHooks &m_hooks;
    EndpointDirectory &m_directory;
    Duration m_interval;
    LeavingHook m_leavingHook;
    std::function<void()> m_answered;
    std::map<EndpointId, MonotonicTime> m_due;
};

} // namespace coriander
