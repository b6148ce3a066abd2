#pragma once

#include "corianderscale/Transport/AsyncHttpServer.h"
#include "corianderscale/Workflow/CallRouter.h"
#include "corianderscale/Workflow/JobEngine.h"
#include "corianderscale/Workflow/JobIntake.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriander::workflow {

/** State of one HTTP listener. */
struct ListenerReading {
    std::string name;
    decision::ConnectionLoad load;
    HttpRefusals refusals{};
};

/**
 * Counters, gauges and latency histograms of one instance; docs/metrics.md describes them. Label values come from fixed
 * sets, so the number of series is bounded.
 *
 * Thread safety: only on the thread of the event loop.
 */
class NodeMetrics
{
public:
    NodeMetrics();

    /** Counts an answered call. @p kind is `submit`, `cancel`, `show` or `count`. */
    void callAnswered(const std::string &kind, CallOutcome outcome, Duration took);

    /** Values that are read when the metrics are requested. */
    struct Readings {
        std::optional<Epoch> epoch;
        /** Null on an instance that does not own the term. */
        const JobEngine *engine = nullptr;
        /** Version of the configuration in force; 0 before the first one. */
        std::int64_t configuration = 0;
        StoreReach store = StoreReach::Reachable;
        /** Known instances that can be asked to serve a call. */
        std::size_t neighbours = 0;
        RoutingCounts routing;
        std::size_t requestsInProgress = 0;
        std::vector<ListenerReading> listeners;
    };

    /** All series in the Prometheus text format. */
    std::string toText(const Readings &readings);

private:
    void setListener(const ListenerReading &listener);
    void setGauge(const std::string &name, const std::string &help, double value);

    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_calls;
    prometheus::Family<prometheus::Histogram> &m_callSeconds;
    prometheus::Family<prometheus::Gauge> &m_runs;
    prometheus::Family<prometheus::Gauge> &m_routed;
    prometheus::Family<prometheus::Gauge> &m_refused;
    prometheus::Family<prometheus::Gauge> &m_connections;
    prometheus::Family<prometheus::Gauge> &m_incomplete;
    prometheus::Family<prometheus::Gauge> &m_requestBytes;
};

} // namespace coriander::workflow
