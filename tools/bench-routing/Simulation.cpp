#include "Simulation.h"

#include "corianderscale/Coordination/RetryBudget.h"
#include "corianderscale/Gateway/Dispatcher.h"
#include "corianderscale/Support/ManualClock.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <queue>
#include <random>

using namespace coriander;

namespace {

constexpr int GatewayCount = 8;
constexpr int EndpointCount = 50;
constexpr std::int64_t SlotsPerEndpoint = 8;
/** Time from a send until the refusal of the endpoint arrives. */
constexpr Duration RefusalDelay = std::chrono::microseconds(1000);

struct Event {
    MonotonicTime due;
    std::uint64_t sequence = 0;
    std::function<void()> run;

    bool operator>(const Event &other) const
    {
        return std::pair(due, sequence) > std::pair(other.due, other.sequence);
    }
};

/** The parts of a gateway that route requests. */
struct RoutingGateway {
    RoutingGateway(int index, int count, Clock clock, std::function<std::uint64_t()> random)
        : directory(InstanceId("gateway-" + std::to_string(index)))
        , router(directory, DataCentreId("d1"), std::move(random))
        , dispatcher(directory, router, timing, AdmissionLimits{2000, 2000}, std::move(clock))
    {
        std::vector<InstanceId> all;
        for (int i = 0; i < count; ++i) {
            all.emplace_back("gateway-" + std::to_string(i));
        }
        directory.setGateways(all);
    }

    EndpointDirectory directory;
    ServiceTiming timing;
    Router router;
    Dispatcher dispatcher;
};

class Simulation
{
public:
    explicit Simulation(const SimulationSettings &settings);
    SimulationResult run();

private:
    void schedule(MonotonicTime due, std::function<void()> task);
    void handleArrival(std::size_t source);
    void submit(std::size_t source, Duration runTime);
    void sendToRandomEndpoint(std::size_t source, Duration runTime, MonotonicTime arrivedAt);
    void recordFinished(std::size_t source, MonotonicTime arrivedAt);
    void pollEndpoints();
    Duration randomExponential(double mean);

    SimulationSettings m_settings;
    ManualClock m_manualClock;
    Clock m_clock;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<RoutingGateway>> m_gateways;
    std::vector<std::int64_t> m_usedSlots;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    std::int64_t m_sends = 0;
    std::int64_t m_slotFullSends = 0;
    MonotonicTime m_end;
    SimulationResult m_result;
};

Simulation::Simulation(const SimulationSettings &settings)
    : m_settings(settings)
    , m_clock(m_manualClock.clock())
    , m_random(settings.seed)
    , m_usedSlots(EndpointCount, 0)
    , m_end(m_clock.now() + settings.duration)
{
    m_result.sources.resize(settings.sources.size());
    const int count = settings.policy == "central" ? 1 : GatewayCount;
    for (int i = 0; i < count; ++i) {
        m_gateways.push_back(std::make_unique<RoutingGateway>(i, count, m_clock, [this] { return m_random(); }));
    }
}

Duration Simulation::randomExponential(double mean)
{
    return Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(1 / mean)(m_random)) + 1);
}

void Simulation::schedule(MonotonicTime due, std::function<void()> task)
{
    m_events.push({due, ++m_sequence, std::move(task)});
}

void Simulation::pollEndpoints()
{
    VmList list;
    for (int i = 0; i < EndpointCount; ++i) {
        VmEntry entry;
        entry.id = "e" + std::to_string(i);
        entry.role = "endpoint";
        entry.dataCentre = DataCentreId("d1");
        entry.address = std::to_string(i);
        list.vms.push_back(entry);
    }
    for (const auto &gateway : m_gateways) {
        gateway->directory.applyVmList(list);
        for (const VmEntry &entry : list.vms) {
            EndpointInfo info;
            info.id = EndpointId(entry.id);
            info.incarnation = InstanceId("run-1");
            info.services = {ServiceName("quick"), ServiceName("review")};
            info.slots = SlotsPerEndpoint;
            gateway->directory.applyPollAnswer(info, m_clock.now());
        }
    }
    schedule(m_clock.now() + std::chrono::seconds(2), [this] { pollEndpoints(); });
}

void Simulation::handleArrival(std::size_t source)
{
    const ArrivalSource &arrivals = m_settings.sources[source];
    const auto meanRun = static_cast<double>(arrivals.meanRun.count());
    const double perMicrosecond = arrivals.load * EndpointCount * static_cast<double>(SlotsPerEndpoint) / meanRun;
    // At high loads several arrivals fall into the same microsecond; they are submitted one after the other.
    schedule(m_clock.now() + Duration(std::llround(std::exponential_distribution<double>(perMicrosecond)(m_random))),
             [this, source] { handleArrival(source); });
    ++m_result.sources[source].arrived;
    const Duration runTime = randomExponential(meanRun);
    if (m_settings.policy == "random") {
        sendToRandomEndpoint(source, runTime, m_clock.now());
    } else {
        submit(source, runTime);
    }
}

void Simulation::submit(std::size_t source, Duration runTime)
{
    const ArrivalSource &arrivals = m_settings.sources[source];
    RoutingGateway &gateway = *m_gateways[m_random() % m_gateways.size()];
    const MonotonicTime arrivedAt = m_clock.now();
    SlotRequest slot;
    slot.service = arrivals.service;
    slot.urgency = arrivals.urgency;
    slot.caller = {OrganisationId("o"), CallerId("c" + std::to_string(source))};
    slot.startDeadline = gateway.timing.startDeadline(arrivals.service, arrivedAt, arrivedAt + m_settings.deadline);
    slot.start = [this, source, runTime, arrivedAt, &gateway](SlotLease lease) {
        ++m_sends;
        m_result.sources[source].wait.add(m_clock.now() - arrivedAt);
        const auto held = std::make_shared<SlotLease>(std::move(lease));
        schedule(m_clock.now() + runTime, [this, source, runTime, arrivedAt, &gateway, held] {
            gateway.timing.recordRunTime(m_settings.sources[source].service, runTime);
            recordFinished(source, arrivedAt);
            held->release();
        });
    };
    slot.refuse = [this, source](const ErrorBody &) {
        ++m_result.sources[source].refused;
    };
    gateway.dispatcher.submit(std::move(slot));
}

void Simulation::sendToRandomEndpoint(std::size_t source, Duration runTime, MonotonicTime arrivedAt)
{
    const std::size_t endpoint = m_random() % EndpointCount;
    ++m_sends;
    if (m_usedSlots[endpoint] >= SlotsPerEndpoint) {
        ++m_slotFullSends;
        schedule(m_clock.now() + RefusalDelay,
                 [this, source, runTime, arrivedAt] { sendToRandomEndpoint(source, runTime, arrivedAt); });
        return;
    }
    ++m_usedSlots[endpoint];
    m_result.sources[source].wait.add(m_clock.now() - arrivedAt);
    schedule(m_clock.now() + runTime, [this, source, arrivedAt, endpoint] {
        --m_usedSlots[endpoint];
        recordFinished(source, arrivedAt);
    });
}

void Simulation::recordFinished(std::size_t source, MonotonicTime arrivedAt)
{
    SourceResult &result = m_result.sources[source];
    const Duration took = m_clock.now() - arrivedAt;
    ++result.finished;
    result.finishedInTime += took <= m_settings.deadline ? 1 : 0;
    result.total.add(took);
}

SimulationResult Simulation::run()
{
    pollEndpoints();
    for (std::size_t source = 0; source < m_settings.sources.size(); ++source) {
        schedule(m_clock.now(), [this, source] { handleArrival(source); });
    }
    while (!m_events.empty() && m_events.top().due < m_end) {
        const Event event = m_events.top();
        m_events.pop();
        m_manualClock.advance(event.due - m_clock.now());
        event.run();
    }
    m_result.slotFullShare = m_sends == 0 ? 0 : static_cast<double>(m_slotFullSends) / static_cast<double>(m_sends);
    // Refuse the requests that still wait, so that no lease outlives its gateway.
    for (const auto &gateway : m_gateways) {
        gateway->dispatcher.refuseAll({});
    }
    return m_result;
}

} // namespace

void Samples::add(Duration value)
{
    m_values.push_back(static_cast<double>(value.count()) / 1000);
}

double Samples::percentile(double percent) const
{
    if (m_values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(percent / 100 * static_cast<double>(m_values.size() - 1));
    std::nth_element(m_values.begin(), m_values.begin() + static_cast<std::ptrdiff_t>(rank), m_values.end());
    return m_values[rank];
}

double Samples::mean() const
{
    return m_values.empty()
        ? 0
        : std::accumulate(m_values.begin(), m_values.end(), 0.0) / static_cast<double>(m_values.size());
}

SimulationResult simulate(const SimulationSettings &settings)
{
    return Simulation(settings).run();
}

double measureRetryLoad(std::uint64_t seed)
{
    constexpr int FirstSends = 100'000;
    constexpr int RetriesPerRequest = 3;
    std::mt19937_64 random(seed);
    std::bernoulli_distribution fails(0.5);
    RetryBudget budget{RetryBudget::Settings()};
    int retries = 0;
    for (int i = 0; i < FirstSends; ++i) {
        budget.recordSend();
        int tries = 0;
        while (fails(random) && tries < RetriesPerRequest && budget.tryTakeRetry()) {
            ++tries;
            ++retries;
        }
    }
    return static_cast<double>(retries) / FirstSends;
}
