#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Soak/LoopbackProxy.h"
#include "Soak/SoakAdvisor.h"
#include "Workflow/FakeRowStore.h"
#include "Workflow/FakeWorkers.h"

namespace coriander::soak {

using workflow::FakeRowStore;
using workflow::FakeWorkers;
using workflow::Timeline;

/** Payload that callers submit with a job; every start order of the job must carry it. */
std::string payloadFor(const JobId &job);

/** The fake store and workers of the unit tests, served on loopback with the platform's protocol in real time. */
class SoakPlatform
{
public:
    static constexpr const char *Host = "soak.example";
    static constexpr const char *Credential = "soak-key";

    SoakPlatform(boost::asio::io_context &loop, std::uint32_t seed, int workerCount);

    /** Advances the timeline to the present and runs the timers that are due. */
    void advance();

    /** Publishes the next version of the configuration, which adds one queue. */
    void changeConfiguration();
    /** Writes or removes the operator's row that evacuates a data centre. */
    void evacuate(const DataCentreId &dataCentre);
    void endEvacuation(const DataCentreId &dataCentre);
    /** Sets the time limit for receiving a request and publishes the next version of the configuration. */
    void setReceiveTime(Duration limit);
    /** Starts of the job need a ticket of the advice service. */
    void requireTickets(const JobId &job);
    /** Path prefix of the queue that the newest configuration added. */
    std::string newestQueuePrefix() const;

    unsigned short storePort() const;
    /** Address of the advice service. */
    std::string advisorAddress() const;

    /** The proxy through which all nodes reach a worker. */
    LoopbackProxy &workerLink(std::size_t index);
    WorkerId workerId(std::size_t index) const;
    std::size_t workerCount() const;

    Timeline timeline;
    FakeWorkers workers;
    FakeRowStore store;

private:
    struct WorkerHost {
        WorkerId id;
        std::unique_ptr<AsyncHttpServer> server;
        std::unique_ptr<LoopbackProxy> link;
    };

    void addWorker(int index);
    void publishWorkers();
    void serveStore(const HttpRequest &request, const AsyncHttpRespond &respond);
    void serveWorker(const WorkerId &id, const HttpRequest &request, const AsyncHttpRespond &respond);
    void serveHold(const workflow::OrderTarget &target, const std::string &body, const AsyncHttpRespond &respond);
    /** Answers a hold when the worker lists an ended task, or at @p deadline. */
    void waitForEnd(const workflow::OrderTarget &target,
                    const workflow::HoldOrder &order,
                    MonotonicTime deadline,
                    const AsyncHttpRespond &respond);

    boost::asio::io_context &m_loop;
    MonotonicTime m_advancedTo;
    AsyncHttpServer m_storeServer;
    SoakAdvisor m_advisor;
    std::set<JobId> m_advisedJobs;
    std::vector<WorkerHost> m_hosts;
    int m_configurationVersion = 0;
    std::optional<Duration> m_receiveTime;
    std::int64_t m_reportSequence = 0;
};

} // namespace coriander::soak
