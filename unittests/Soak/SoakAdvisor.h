#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"
#include "corianderscale/Workflow/WorkerMessages.h"

#include <map>
#include <string>

#include "Workflow/FakeWorkers.h"

namespace coriander::soak {

/** The platform's advice service on loopback, with the answer times of the deployments. For each job it refuses one
 * worker. */
class SoakAdvisor
{
public:
    SoakAdvisor(boost::asio::io_context &loop, workflow::Timeline &timeline, int workerCount);

    /** Address for the settings of the nodes. */
    std::string address() const;

    /** Whether the order carries a ticket for the worker and the step that is still valid. */
    bool accepts(const WorkerId &worker, const workflow::StartOrder &order) const;

    static constexpr workflow::milliseconds DecisionTime{200};
    static constexpr workflow::milliseconds TimePerWorker{20};
    static constexpr workflow::milliseconds TicketTime{3000};

private:
    void serve(const HttpRequest &request, const AsyncHttpRespond &respond);
    bool approves(const std::string &step, const std::string &worker) const;

    workflow::Timeline &m_timeline;
    int m_workerCount;
    AsyncHttpServer m_server;
    int m_tickets = 0;
    /** By ticket: the step and the worker, and when the ticket expires. */
    std::map<std::string, std::pair<std::string, MonotonicTime>> m_validUntil;
};

} // namespace coriander::soak
