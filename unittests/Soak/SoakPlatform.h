#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"

#include <memory>
#include <string>
#include <vector>

#include "Soak/LoopbackProxy.h"
#include "Workflow/FakeRowStore.h"
#include "Workflow/FakeWorkers.h"

namespace coriander::soak {

using workflow::FakeRowStore;
using workflow::FakeWorkers;
using workflow::Timeline;

/** What the callers of the soak submit with a job, and every start of it has to carry. */
std::string payloadOf(const JobId &job);

/** Store and workers of the unit tests, served on loopback with the platform's wire, in real time. */
class SoakPlatform
{
public:
    static constexpr const char *Host = "soak.example";
    static constexpr const char *Credential = "soak-key";

    SoakPlatform(boost::asio::io_context &loop, std::uint32_t seed, int workerCount);

    /** Runs what has come due since the last call. */
    void advance();

    /** Publishes the next version of the configuration, with one queue more. */
    void changeConfiguration();
    /** Path prefix of the queue that the newest configuration added. */
    std::string newestPrefix() const;

    unsigned short storePort() const;

    /** The proxy before a worker, through which all nodes reach it. */
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
    /** Answers a hold when the worker lists an end or @p until has come. */
    void waitForEnd(const workflow::OrderTarget &target,
                    const workflow::HoldOrder &order,
                    MonotonicTime until,
                    const AsyncHttpRespond &respond);

    boost::asio::io_context &m_loop;
    MonotonicTime m_realNow;
    AsyncHttpServer m_storeServer;
    std::vector<WorkerHost> m_hosts;
    int m_configuration = 0;
    std::int64_t m_reports = 0;
};

} // namespace coriander::soak
