#pragma once

#include "corianderscale/Gateway/Dispatcher.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Protocol/EndpointMessages.h"

#include <functional>
#include <optional>
#include <string>

namespace coriander {

/** One attempt to run a request at an endpoint. */
struct Attempt {
    AttemptId id;
    ServiceName service;
    /** The endpoint refuses to start it later. */
    std::int64_t startByUnixMs = 0;
    std::string body;
    /** Waiting for the answer ends here. */
    MonotonicTime deadline;
};

enum class AttemptEnd {
    /** The endpoint's whole answer to this attempt. */
    Answered,
    /** The endpoint refused and says that it has not started the attempt. */
    NotStarted,
    /** No connection could be made; nothing was sent. */
    Unsent,
    /** Whether the attempt ran is not known. */
    Uncertain,
};

/** How an attempt ended. */
struct AttemptResult {
    AttemptEnd end = AttemptEnd::Uncertain;
    /** Status and body of the answer, when answered. */
    int status = 0;
    std::string body;
    /** Code of the refusal, or a short name of what went wrong. */
    std::string code;
    std::string reason;
};

/**
 * Judges what came back for an attempt. Only a response that names the attempt and whose body has the digest that it
 * states is the attempt's answer. Thread safety: pure function.
 */
AttemptResult judgeResponse(const AttemptId &attempt,
                            const std::optional<HttpResponse> &response,
                            const TransportError &error);

/** What an endpoint says of an attempt; no value when it could not be asked. */
using AttemptStatusDone = std::function<void(std::optional<AttemptStatus>)>;

/**
 * Sends attempts to endpoints, and asks endpoints about attempts.
 *
 * Notes the health and run time of each send. Thread safety: the gateway's thread.
 */
class AttemptSender
{
public:
    using Done = std::function<void(const AttemptResult &)>;
    /** Called when an endpoint says for the first time that it leaves. */
    using Leaving = std::function<void(const EndpointId &, const InstanceId &)>;

    AttemptSender(GatewayHooks &hooks, EndpointDirectory &directory, ServiceTiming &timing);

    void setLeavingHook(Leaving hook);

    /** Sends an attempt; the slot is given back before @p done is called. */
    void send(const Attempt &attempt, SlotLease lease, Done done);

    /** Makes the endpoint promise never to start the attempt, and asks what became of it. */
    void fence(const std::string &address, const AttemptId &attempt, AttemptStatusDone done);

    /** Attempts that were sent since the start, and how many were refused for a full slot. */
    std::int64_t sends() const;
    std::int64_t slotFull() const;

private:
    void noteResult(const EndpointId &endpoint,
                    const InstanceId &incarnation,
                    const ServiceName &service,
                    const AttemptResult &result,
                    Duration took);

    GatewayHooks &m_hooks;
    EndpointDirectory &m_directory;
    ServiceTiming &m_timing;
    Leaving m_leaving;
    std::int64_t m_sends = 0;
    std::int64_t m_slotFull = 0;
};

} // namespace coriander
