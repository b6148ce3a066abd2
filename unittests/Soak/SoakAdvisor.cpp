#include "Soak/SoakAdvisor.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "platform/Names.h"

namespace coriander::soak {

using Json = nlohmann::json;
using namespace coriander::workflow;

SoakAdvisor::SoakAdvisor(boost::asio::io_context &loop, Timeline &timeline, int workerCount)
    : m_timeline(timeline)
    , m_workerCount(workerCount)
    , m_server(
          loop, {}, [this](const HttpRequest &request, const AsyncHttpRespond &respond) { serve(request, respond); })
{
    TransportError error;
    EXPECT_TRUE(m_server.listen("127.0.0.1:0", error)) << error.reason;
}

std::string SoakAdvisor::address() const
{
    return fmt::format("127.0.0.1:{}", m_server.port());
}

bool SoakAdvisor::accepts(const WorkerId &worker, const StartOrder &order) const
{
    const auto found = m_validUntil.find(order.ticket);
    const std::string use
        = fmt::format("{}.{}.{} {}", order.task.job.value(), order.task.occurrence, order.task.step, worker.value());
    return found != m_validUntil.end() && found->second.first == use && m_timeline.now() < found->second.second;
}

bool SoakAdvisor::approves(const std::string &step, const std::string &worker) const
{
    const std::string job = step.substr(0, step.find('.'));
    return worker
        != fmt::format("w{}", std::stoul(job.substr(0, 8), nullptr, 16) % static_cast<unsigned>(m_workerCount));
}

void SoakAdvisor::serve(const HttpRequest &request, const AsyncHttpRespond &respond)
{
    EXPECT_EQ(request.path, coriander::platform::names::AdvisePath);
    const Json question = Json::parse(request.body);
    const auto step = question.at("step").get<std::string>();
    const auto workers = question.at("workers").get<std::vector<std::string>>();
    EXPECT_LE(workers.size(), 100U);
    m_timeline.after(DecisionTime + TimePerWorker * workers.size(), [this, step, workers, respond] {
        Json good = Json::array();
        for (const std::string &worker : workers) {
            if (approves(step, worker)) {
                const std::string ticket = fmt::format("ticket-{}", ++m_tickets);
                m_validUntil[ticket] = {step + " " + worker, m_timeline.now() + TicketTime};
                good.push_back({worker, ticket});
            }
        }
        respond(jsonResponse(200, Json{{"good", good}, {"valid_ms", TicketTime.count()}}.dump()));
    });
}

} // namespace coriander::soak
