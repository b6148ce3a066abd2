#include "Soak/SoakPlatform.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "platform/JobMessages.h"
#include "platform/Names.h"

namespace coriander::soak {

namespace {

using Json = nlohmann::json;
using namespace coriander::workflow;
namespace names = coriander::platform::names;

/** Interval between reports of each worker to the discovery table. */
constexpr auto ReportInterval = std::chrono::milliseconds(500);
/** Number of workers with consecutive indices that share a data centre; two racks. */
constexpr int WorkersPerDataCentre = 6;
/** Interval between checks for ended tasks while a hold waits. */
constexpr auto EndCheckInterval = std::chrono::milliseconds(20);
/** Number of workers with consecutive indices that share a rack. */
constexpr int WorkersPerRack = 3;
/** Timeout of changes in the fake store. Its value has no effect: no response is sent for a change that timed out. */
constexpr auto ChangeTimeout = std::chrono::milliseconds(50);

const char *encodeEndKind(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseLapsed:
        return "lapsed";
    case EndKind::GangBroken:
        return "broken";
    case EndKind::GangIncomplete:
        return "alone";
    }
    return "unknown";
}

Json encodeRow(const Row &row)
{
    Json value = {{"table", row.table}, {"part", ""}, {"key", row.key}, {"ver", row.version.count()}};
    if (row.removed) {
        value["deleted"] = true;
    } else {
        value["value"] = absl::Base64Escape(row.value);
    }
    return value;
}

Json encodeRows(const std::vector<Row> &rows)
{
    Json values = Json::array();
    for (const Row &row : rows) {
        values.push_back(encodeRow(row));
    }
    return values;
}

RowChange decodeChange(const Json &value)
{
    RowChange change;
    for (const Json &row : value.at("expect")) {
        change.expected.push_back({row.at("table"), row.at("key"), RowVersion(row.at("ver").get<std::int64_t>())});
    }
    for (const Json &row : value.at("upserts")) {
        std::string bytes;
        absl::Base64Unescape(row.at("value").get<std::string>(), &bytes);
        change.written.push_back({row.at("table"), row.at("key"), bytes, {}, false});
    }
    for (const Json &row : value.at("remove")) {
        change.removed.push_back({row.at("table"), row.at("key")});
    }
    return change;
}

/** The response to an order, or none when its answer is lost. */
std::optional<HttpResponse> encodeOrderAnswer(const OrderAnswer &answer, Json body)
{
    if (answer.clock) {
        body["clock_ms"] = answer.clock->count();
    }
    switch (answer.outcome) {
    case OrderOutcome::Done:
        return jsonResponse(200, body.dump());
    case OrderOutcome::Refused:
        body["reason"] = answer.reason;
        return jsonResponse(409, body.dump());
    case OrderOutcome::Superseded:
        body["reason"] = "fence";
        return jsonResponse(409, body.dump());
    case OrderOutcome::NotApproved:
        body["reason"] = "ticket";
        return jsonResponse(409, body.dump());
    case OrderOutcome::OtherIncarnation:
        return jsonResponse(421, body.dump());
    case OrderOutcome::Unreachable:
    case OrderOutcome::Unknown:
        break;
    }
    return std::nullopt;
}

Json encodeTaskLists(const HoldAnswer &answer)
{
    Json running = Json::array();
    for (const RunningTask &each : answer.running) {
        running.push_back({platform::encodeTaskName(each.task), each.run, each.checkpoint, each.percent});
    }
    Json ended = Json::array();
    for (const EndedTask &each : answer.ended) {
        ended.push_back(
            {each.number, platform::encodeTaskName(each.task), each.run, encodeEndKind(each.kind), each.checkpoint});
    }
    Json body = {{"running", running}, {"ended", ended}};
    if (answer.incarnation) {
        body["born"] = answer.incarnation->count();
    }
    return body;
}

OrderDone respondToOrder(const AsyncHttpRespond &respond)
{
    return [respond](const OrderAnswer &answer) {
        if (const auto response = encodeOrderAnswer(answer, Json::object())) {
            respond(*response);
        }
    };
}

} // namespace

std::string payloadFor(const JobId &job)
{
    return "payload of " + job.value();
}

SoakPlatform::SoakPlatform(boost::asio::io_context &loop, std::uint32_t seed, int workerCount)
    : workers(timeline, seed)
    , store(timeline, seed)
    , m_loop(loop)
    , m_advancedTo(systemClock().now())
    , m_storeServer(
          loop,
          {},
          [this](const HttpRequest &request, const AsyncHttpRespond &respond) { serveStore(request, respond); })
    , m_advisor(loop, timeline, workerCount)
{
    workers.ticketIsValid = [this](const WorkerId &worker, const StartOrder &order) {
        return m_advisedJobs.count(order.task.job) == 0 || m_advisor.accepts(worker, order);
    };
    TransportError error;
    EXPECT_TRUE(m_storeServer.listen("127.0.0.1:0", error)) << error.reason;
    for (int i = 0; i < workerCount; ++i) {
        addWorker(i);
    }
    changeConfiguration();
    publishWorkers();
}

void SoakPlatform::advance()
{
    const MonotonicTime now = systemClock().now();
    timeline.runFor(now - m_advancedTo);
    m_advancedTo = now;
}

void SoakPlatform::addWorker(int index)
{
    const std::string id = "w" + std::to_string(index);
    const decision::Resources size{MilliCores(32000), MemoryMib(65536), Accelerators(8)};
    workers.add(id, "r" + std::to_string(index / WorkersPerRack), size).report.dataCentre
        = DataCentreId("dc" + std::to_string(index / WorkersPerDataCentre));
    WorkerHost host;
    host.id = WorkerId(id);
    host.server = std::make_unique<AsyncHttpServer>(
        m_loop, AsyncHttpLimits{}, [this, id = host.id](const HttpRequest &request, const AsyncHttpRespond &respond) {
            serveWorker(id, request, respond);
        });
    TransportError error;
    EXPECT_TRUE(host.server->listen("127.0.0.1:0", error)) << error.reason;
    host.link = std::make_unique<LoopbackProxy>(m_loop, host.server->port());
    workers.machines().at(host.id).report.address = host.link->address();
    m_hosts.push_back(std::move(host));
}

void SoakPlatform::publishWorkers()
{
    RowChange change;
    ++m_reportSequence;
    for (const auto &[id, machine] : workers.machines()) {
        if (machine.isStarting || machine.hasLeft) {
            continue;
        }
        const WorkerReport &report = machine.report;
        const Json body = {{"service", report.service.value()},
                           {"addr", report.address},
                           {"zone", report.dataCentre.value()},
                           {"state", report.draining ? "draining" : "ready"},
                           {"labels", report.labels},
                           {"capacity",
                            {{"cpu", report.capacity.cores.count()},
                             {"mem_mb", report.capacity.memory.count()},
                             {"gpu", report.capacity.accelerators.count()}}},
                           {"born", report.incarnation.count()},
                           {"seq", m_reportSequence}};
        change.written.push_back({names::DiscoveryTable, id.value(), body.dump(), {}, false});
    }
    store.apply(change);
    timeline.after(ReportInterval, [this] { publishWorkers(); });
}

void SoakPlatform::changeConfiguration()
{
    ++m_configurationVersion;
    Json routes = Json::array();
    const auto addQueue = [&routes](const std::string &name, int priority, const std::string &path, Json advice = {}) {
        routes.push_back({{"name", name},
                          {"host", Host},
                          {"prefix", "/" + path + "/"},
                          {"service", "pool"},
                          {"priority", priority},
                          {"max_attempts", FakeWorkers::MaximumAttempts},
                          {"stretch", 3},
                          {"advice", std::move(advice)},
                          {"timeout_ms", 3000}});
    };
    addQueue("urgent", 0, "urgent");
    addQueue("advised",
             1,
             "advised",
             {{"decide_ms", SoakAdvisor::DecisionTime.count()},
              {"each_ms", SoakAdvisor::TimePerWorker.count()},
              {"valid_ms", SoakAdvisor::TicketTime.count()}});
    // Each version replaces the queue by one of another name, which must not keep accepted jobs from being finished.
    addQueue("batch" + std::to_string(m_configurationVersion), 2, "batch");
    for (int i = 1; i <= m_configurationVersion; ++i) {
        addQueue("added" + std::to_string(i), 1, "added" + std::to_string(i));
    }
    Json body = {
        {"version", m_configurationVersion},
        {"routes", routes},
        {"services", {{{"name", "pool"}}}},
        {"tenants", {{{"name", "org"}, {"api_keys", {Credential}}, {"guaranteed", {{"gpu", 24}}}}}},
    };
    if (m_receiveTime) {
        body["limits"] = {{"header_timeout_ms", std::chrono::duration_cast<milliseconds>(*m_receiveTime).count()}};
    }
    store.apply({{}, {{names::OperatorTable, names::ConfigurationKey, body.dump(), {}, false}}, {}});
}

void SoakPlatform::evacuate(const DataCentreId &dataCentre)
{
    store.apply({{}, {{names::OperatorTable, names::EvacuationKeyPrefix + dataCentre.value(), "", {}, false}}, {}});
}

void SoakPlatform::endEvacuation(const DataCentreId &dataCentre)
{
    store.apply({{}, {}, {{names::OperatorTable, names::EvacuationKeyPrefix + dataCentre.value()}}});
}

void SoakPlatform::setReceiveTime(Duration limit)
{
    m_receiveTime = limit;
    changeConfiguration();
}

void SoakPlatform::requireTickets(const JobId &job)
{
    m_advisedJobs.insert(job);
}

std::string SoakPlatform::newestQueuePrefix() const
{
    return "/added" + std::to_string(m_configurationVersion) + "/";
}

std::string SoakPlatform::advisorAddress() const
{
    return m_advisor.address();
}

unsigned short SoakPlatform::storePort() const
{
    return m_storeServer.port();
}

LoopbackProxy &SoakPlatform::workerLink(std::size_t index)
{
    return *m_hosts.at(index).link;
}

WorkerId SoakPlatform::workerId(std::size_t index) const
{
    return m_hosts.at(index).id;
}

std::size_t SoakPlatform::workerCount() const
{
    return m_hosts.size();
}

void SoakPlatform::serveStore(const HttpRequest &request, const AsyncHttpRespond &respond)
{
    const auto answerPage = [respond](const std::optional<RowPage> &page, const StateError &error) {
        if (!page) {
            respond(jsonResponse(error.code == StateCode::NotFound ? 410 : 503, "{}"));
            return;
        }
        const Json body
            = {{"rows", encodeRows(page->rows)}, {"has_more", page->hasMore}, {"ver", page->version.count()}};
        respond(jsonResponse(200, body.dump()));
    };
    if (request.path == names::ReadPath) {
        store.read(request.parameter("table"), request.parameter("from"), request.parameter("to"), {}, answerPage);
        return;
    }
    if (request.path == names::FollowPath) {
        const RowVersion after(std::stoll(request.parameter("after")));
        const milliseconds wait(std::stoll(request.parameter("wait_ms")));
        store.follow(request.parameter("table"), after, wait, {}, answerPage);
        return;
    }
    store.change(decodeChange(Json::parse(request.body)), ChangeTimeout, [respond](const ChangeResult &result) {
        if (result.outcome == ChangeOutcome::Committed) {
            respond(jsonResponse(200, Json{{"ver", result.version.count()}}.dump()));
        } else if (result.outcome == ChangeOutcome::Conflict) {
            respond(jsonResponse(412, Json{{"rows", encodeRows(result.current)}}.dump()));
        } else if (result.outcome == ChangeOutcome::NotDone) {
            respond(jsonResponse(503, "{}"));
        }
    });
}

void SoakPlatform::serveWorker(const WorkerId &id, const HttpRequest &request, const AsyncHttpRespond &respond)
{
    if (request.header(names::ExpectHeader) != id.value()) {
        respond(jsonResponse(421, "{}"));
        return;
    }
    const Json body = Json::parse(request.body);
    OrderTarget target{id, "", {}, Epoch(body.at("fence").get<std::int64_t>())};
    if (request.path == names::HoldPath) {
        serveHold(target, request.body, respond);
        return;
    }
    const TaskKey task = *platform::decodeTaskName(body.at("task").get<std::string>());
    const std::int64_t run = body.at("run").get<std::int64_t>();
    if (request.path == names::StopPath) {
        workers.stop(target, {task, run}, respondToOrder(respond));
        return;
    }
    StartOrder order;
    order.task = task;
    order.run = run;
    order.payload = body.at("spec").get<std::string>();
    order.leaseUntil = WorkerClockMs(body.at("deadline_ms").get<std::int64_t>());
    order.ticket = body.value("ticket", "");
    EXPECT_EQ(order.payload, payloadFor(task.job))
        << "UNASKED: wrong payload for task " << platform::encodeTaskName(task);
    workers.start(target, order, respondToOrder(respond));
}

void SoakPlatform::serveHold(const OrderTarget &target, const std::string &body, const AsyncHttpRespond &respond)
{
    const Json value = Json::parse(body);
    HoldOrder order;
    order.acknowledgedThrough = value.at("last_seen").get<std::int64_t>();
    if (value.contains("deadline_ms")) {
        order.leaseUntil = WorkerClockMs(value.at("deadline_ms").get<std::int64_t>());
    }
    const milliseconds wait(value.value("wait_ms", std::int64_t(0)));
    workers.hold(target, order, [this, target, order, wait, respond](const HoldAnswer &answer) {
        if (answer.outcome == OrderOutcome::Done && answer.ended.empty() && wait > milliseconds(0)) {
            OrderTarget incarnationTarget = target;
            incarnationTarget.incarnation = *answer.incarnation;
            waitForEnd(incarnationTarget, {{}, order.acknowledgedThrough, {}}, timeline.now() + wait, respond);
        } else if (const auto response = encodeOrderAnswer(answer, encodeTaskLists(answer))) {
            respond(*response);
        }
    });
}

void SoakPlatform::waitForEnd(const OrderTarget &target,
                              const HoldOrder &order,
                              MonotonicTime deadline,
                              const AsyncHttpRespond &respond)
{
    const FakeWorkers::Machine &machine = workers.machines().at(target.worker);
    if (machine.report.incarnation != target.incarnation) {
        return;
    }
    if (machine.ended.empty() && timeline.now() < deadline) {
        timeline.after(EndCheckInterval,
                       [this, target, order, deadline, respond] { waitForEnd(target, order, deadline, respond); });
        return;
    }
    workers.hold(target, order, [respond](const HoldAnswer &answer) {
        if (const auto response = encodeOrderAnswer(answer, encodeTaskLists(answer))) {
            respond(*response);
        }
    });
}

} // namespace coriander::soak
