#pragma once

#include "corianderscale/Scheduler/PlacementDuty.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace coriander {

/** Metrics of the scheduler. Thread safety: all methods from any thread. */
class SchedulerMetrics
{
public:
    explicit SchedulerMetrics(const std::shared_ptr<prometheus::Registry> &registry);

    /** Counts a decision or state change by the name of its event. */
    void countEvent(const std::string &event);

    /** Sets the gauges to the given state. */
    void update(const PlacementCounts &counts, bool owns, bool renewsForOwner, const PeerTraffic &traffic);

private:
    prometheus::Family<prometheus::Counter> &m_events;
    prometheus::Gauge &m_jobs;
    prometheus::Gauge &m_gangs;
    prometheus::Gauge &m_workers;
    prometheus::Gauge &m_impaired;
    prometheus::Gauge &m_owner;
    prometheus::Gauge &m_renewing;
    prometheus::Gauge &m_slowestDecision;
    prometheus::Gauge &m_peerBytes;
};

} // namespace coriander
