#include "corianderscale/Scheduler/SchedulerMetrics.h"

namespace coriander {

namespace {

prometheus::Gauge &addGauge(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

SchedulerMetrics::SchedulerMetrics(const std::shared_ptr<prometheus::Registry> &registry)
    : m_events(prometheus::BuildCounter()
                   .Name("coriander_scheduler_events_total")
                   .Help("Decisions and state changes by event name")
                   .Register(*registry))
    , m_jobs(addGauge(*registry, "coriander_scheduler_open_jobs", "Jobs that have not ended"))
    , m_gangs(addGauge(*registry, "coriander_scheduler_gangs", "Gangs that are starting, running or stopping"))
    , m_workers(addGauge(*registry, "coriander_scheduler_workers", "Workers known to this scheduler"))
    , m_impaired(addGauge(*registry,
                          "coriander_scheduler_impaired_guarantees",
                          "Organisations whose guarantee is not met for lack of capacity"))
    , m_owner(addGauge(*registry, "coriander_scheduler_owner", "1 while this instance owns the data centre"))
    , m_renewing(addGauge(*registry,
                          "coriander_scheduler_renews_for_owner",
                          "1 while this instance renews leases from a snapshot of the owner"))
    , m_slowestDecision(addGauge(*registry,
                                 "coriander_scheduler_slowest_decision_microseconds",
                                 "Longest time to decide on one event since process start"))
    , m_peerBytes(addGauge(*registry, "coriander_scheduler_peer_bytes", "Bytes sent and received on peer streams"))
{
}

void SchedulerMetrics::countEvent(const std::string &event)
{
    m_events.Add({{"event", event}}).Increment();
}

void SchedulerMetrics::update(const PlacementCounts &counts, bool owns, bool renewsForOwner, const PeerTraffic &traffic)
{
    m_jobs.Set(static_cast<double>(counts.jobs));
    m_gangs.Set(static_cast<double>(counts.gangs));
    m_workers.Set(static_cast<double>(counts.workers));
    m_impaired.Set(static_cast<double>(counts.impairedGuarantees));
    m_owner.Set(owns ? 1 : 0);
    m_renewing.Set(renewsForOwner ? 1 : 0);
    m_slowestDecision.Set(static_cast<double>(counts.slowestDecisionMicroseconds));
    m_peerBytes.Set(static_cast<double>(traffic.bytesSent + traffic.bytesReceived));
}

} // namespace coriander
