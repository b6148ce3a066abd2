#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Scheduler/SchedulerCore.h"
#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/DutyThread.h"
#include "corianderscale/Transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace coriander {

/** Callbacks for results of requests and look-ups; called on threads of the HTTP library. Precondition: all are set. */
struct WorkerLinkOutputs {
    std::function<void(const WorkerRequest &request, std::optional<WorkerReport> report, bool notSent)> answered;
    std::function<void(const WorkerInfo &info, const std::string &address)> seen;
    std::function<void(const WorkerId &worker)> unlisted;
    /** Every worker of the VM list has answered the look-up or has timed out. */
    std::function<void()> listed;
};

/**
 * Thread that communicates with workers: sends requests, and finds workers through the platform's VM list.
 *
 * Thread safety: send() and lookUpSoon() from any thread.
 */
class WorkerLink
{
public:
    WorkerLink(DataCentreId dataCentre,
               Duration lookupInterval,
               Store &store,
               HttpClient &client,
               Clock clock,
               WorkerLinkOutputs outputs);
    ~WorkerLink();

    void start();
    void stop();

    /** Queues a request; `answered` is called exactly once for it. */
    void send(WorkerRequest request);

    /** Makes the next read of the VM list due now. */
    void lookUpSoon()
    {
        m_lookUpNow = true;
    }

private:
    struct LookUpRound;

    void step();
    void transmit(WorkerRequest request);
    void lookUp();
    void lookUpWorkers(const VmList &list);

    DataCentreId m_dataCentre;
    Duration m_lookupInterval;
    Store &m_store;
    HttpClient &m_client;
    Clock m_clock;
    WorkerLinkOutputs m_outputs;
    BoundedRing<WorkerRequest> m_requests;
    std::atomic<bool> m_lookUpNow = true;
    std::atomic<bool> m_lookUpInProgress = false;
    MonotonicTime m_nextLookUp{};
    std::set<std::string> m_listedWorkers;
    std::unique_ptr<DutyThread> m_thread;
};

} // namespace coriander
