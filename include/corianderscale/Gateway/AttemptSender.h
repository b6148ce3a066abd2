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
    /** The endpoint refuses to start the attempt after this time. */
    std::int64_t startByUnixMs = 0;
    std::string body;
    /** How long the gateway waits for the answer. */
    MonotonicTime deadline;
};

enum class AttemptEnd {
    /** The endpoint's complete answer to this attempt was received. */
    Answered,
    /** The endpoint refused the attempt and states that it did not start it. */
    NotStarted,
    /** The connection could not be established; nothing was sent. */
    Unsent,
    /** It is unknown whether the attempt ran. */
    Uncertain,
};

/** How an attempt ended. */
struct AttemptResult {
    AttemptEnd end = AttemptEnd::Uncertain;
    /** HTTP status and body of the answer; valid for AttemptEnd::Answered. */
    int status = 0;
    std::string body;
    /** Code of the refusal, or a short name of the failure. */
    std::string code;
    std::string reason;
};

/**
 * Classifies the response to an attempt. A response counts as the answer only when it names the attempt and its body
 * matches the content digest in its header. Thread safety: pure function.
 */
AttemptResult classifyResponse(const AttemptId &attempt,
                               const std::optional<HttpResponse> &response,
                               const TransportError &error);

/** Receives the attempt status that the endpoint reports, or no value when the query failed. */
using AttemptStatusDone = std::function<void(std::optional<AttemptStatus>)>;

/**
 * Sends attempts to endpoints, and fences attempts at endpoints.
 *
 * Records the result and the run time of each send for health checks and timing. Thread safety: the gateway's thread.
 */
class AttemptSender
{
public:
    using Done = std::function<void(const AttemptResult &)>;
    /** Called when an endpoint refuses an attempt as leaving and was not known to be leaving. */
    using LeavingHook = std::function<void(const EndpointId &, const InstanceId &)>;

    AttemptSender(GatewayHooks &hooks, EndpointDirectory &directory, ServiceTiming &timing);

    void setLeavingHook(LeavingHook hook);

    /** Sends an attempt; the slot is released before @p done is called. */
    void send(const Attempt &attempt, SlotLease lease, Done done);

    /** Fences the attempt: the endpoint will not start it from now on, and reports its status. */
    void fence(const std::string &address, const AttemptId &attempt, AttemptStatusDone done);

    /** Number of attempts sent since the start, and how many of them were refused with `slot-full`. */
    std::int64_t sends() const;
    std::int64_t slotFull() const;

private:
    void recordResult(const EndpointId &endpoint,
                      const InstanceId &incarnation,
                      const ServiceName &service,
                      const AttemptResult &result,
                      Duration took);

    GatewayHooks &m_hooks;
    EndpointDirectory &m_directory;
    ServiceTiming &m_timing;
    LeavingHook m_leavingHook;
    std::int64_t m_sends = 0;
    std::int64_t m_slotFull = 0;
};

} // namespace coriander
