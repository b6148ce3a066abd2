#pragma once

#include "corianderscale/Daemon/CommonSettings.h"
#include "corianderscale/Gateway/CallerApi.h"
#include "corianderscale/Gateway/EndpointPoller.h"
#include "corianderscale/Gateway/GatewayPeers.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriander {

/** Settings of the gateway. */
struct GatewaySettings {
    CommonSettings common;
    AdmissionLimits queue;
    Duration pollInterval = std::chrono::seconds(2);
};

/** Values of the gateway metrics. */
struct GatewayNumbers {
    std::size_t queuedUrgent = 0;
    std::size_t queuedNormal = 0;
    std::size_t queuedBackground = 0;
    std::size_t inProgress = 0;
    std::size_t activeClaims = 0;
    std::size_t uncommittedCounts = 0;
    std::int64_t unprotectedReleases = 0;
    std::size_t counterCopies = 0;
    std::int64_t sends = 0;
    std::int64_t slotFullSends = 0;
    std::int64_t usableEndpoints = 0;
    std::int64_t ejectedEndpoints = 0;
};

/**
 * Combines all parts of the gateway. Has no threads, sockets or clocks of its own; GatewayHooks provides them.
 *
 * Thread safety: the gateway's thread.
 */
class GatewayCore
{
public:
    /**
     * @p retries is the retry budget. @p admit returns the refusal of a request that exceeds a rate limit, or no value.
     */
    GatewayCore(GatewaySettings settings,
                GatewayHooks hooks,
                Store &store,
                SendPeer sendPeer,
                RetryBudgetHooks retryBudget,
                std::function<std::optional<ErrorBody>(const CallerKey &)> admit);
    GatewayCore(const GatewayCore &) = delete;
    GatewayCore &operator=(const GatewayCore &) = delete;

    CallerApi &api();
    GatewayPeers &peers();

    void setDocument(const std::shared_ptr<const Document> &document);
    void setVms(const VmList &vms);
    void setMembers(std::vector<Member> members);

    /** Runs polls, the queue and housekeeping that are due. Call every 50 to 100 ms. */
    void tick();

    /** Refuses new work from now on. */
    void beginDrain();
    /** Whether all requests and job calls have been answered. */
    bool isDrained() const;
    /** Closes the counter rows; calls @p done with true once all counts are in the table. */
    void closeCounters(std::function<void(bool)> done);

    GatewayNumbers numbers() const;
    const EndpointDirectory &endpoints() const;

private:
    GatewaySettings m_settings;
    GatewayHooks m_hooks;
    RetryBudgetHooks m_retryBudget;
    EndpointDirectory m_directory;
    ServiceTiming m_timing;
    Router m_router;
    Dispatcher m_dispatcher;
    AttemptSender m_sender;
    RequestRecords m_records;
    CounterCopies m_copies;
    GatewayPeers m_peers;
    RequestCounters m_counters;
    RequestService m_requests;
    JobService m_jobs;
    CallerApi m_api;
    EndpointPoller m_poller;
    Store &m_store;
    MonotonicTime m_housekeepingAt{};
};

} // namespace coriander
