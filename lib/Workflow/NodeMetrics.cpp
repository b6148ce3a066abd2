#include "corianderscale/Workflow/NodeMetrics.h"

#include <prometheus/text_serializer.h>

namespace coriander::workflow {

namespace {

/** Histogram bounds in seconds: an idle store answers within 10 ms, callers wait up to 3 s. */
const prometheus::Histogram::BucketBoundaries CallSecondsBounds{0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 3};

} // namespace

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_calls(prometheus::BuildCounter()
                  .Name("coriander_calls_total")
                  .Help("Answered calls by kind and outcome")
                  .Register(*m_registry))
    , m_callSeconds(prometheus::BuildHistogram()
                        .Name("coriander_call_seconds")
                        .Help("Time from a call's arrival to its answer by kind")
                        .Register(*m_registry))
    , m_runs(prometheus::BuildGauge()
                 .Name("coriander_term_runs")
                 .Help("Runs since this owner's term began, by event")
                 .Register(*m_registry))
    , m_routed(prometheus::BuildGauge()
                   .Name("coriander_calls_routed")
                   .Help("Calls handed to neighbours, served for them or refused without the store, by event")
                   .Register(*m_registry))
    , m_refused(prometheus::BuildGauge()
                    .Name("coriander_clients_refused")
                    .Help("Requests and connections that were refused since the start, by listener and reason")
                    .Register(*m_registry))
    , m_connections(prometheus::BuildGauge()
                        .Name("coriander_client_connections")
                        .Help("Open connections by listener")
                        .Register(*m_registry))
    , m_incomplete(prometheus::BuildGauge()
                       .Name("coriander_incomplete_requests")
                       .Help("Requests of which a part is missing, by listener")
                       .Register(*m_registry))
    , m_requestBytes(prometheus::BuildGauge()
                         .Name("coriander_request_bytes")
                         .Help("Bytes counted for requests and responses by listener")
                         .Register(*m_registry))
{
}

void NodeMetrics::callAnswered(const std::string &kind, CallOutcome outcome, Duration took)
{
    m_calls.Add({{"kind", kind}, {"outcome", callOutcomeName(outcome)}}).Increment();
    m_callSeconds.Add({{"kind", kind}}, CallSecondsBounds).Observe(std::chrono::duration<double>(took).count());
}

void NodeMetrics::setGauge(const std::string &name, const std::string &help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add({}).Set(value);
}

void NodeMetrics::setListener(const ListenerReading &listener)
{
    for (std::size_t i = 0; i < HttpRefusalCount; ++i) {
        m_refused.Add({{"listener", listener.name}, {"reason", httpRefusalName(static_cast<HttpRefusal>(i))}})
            .Set(static_cast<double>(listener.refusals.at(i)));
    }
    m_connections.Add({{"listener", listener.name}}).Set(static_cast<double>(listener.load.connections));
    m_incomplete.Add({{"listener", listener.name}}).Set(static_cast<double>(listener.load.incompleteRequests));
    m_requestBytes.Add({{"listener", listener.name}}).Set(static_cast<double>(listener.load.bytes));
}

std::string NodeMetrics::toText(const Readings &readings)
{
    setGauge("coriander_owner_epoch",
             "Epoch of the term that this instance owns; 0 if it owns none",
             static_cast<double>(readings.epoch.value_or(Epoch()).count()));
    setGauge("coriander_configuration_version",
             "Version of the configuration in force",
             static_cast<double>(readings.configuration));
    setGauge("coriander_store_reachable",
             "Whether recent calls to the store succeeded",
             readings.store != StoreReach::Unreachable);
    setGauge("coriander_store_slow", "Whether the store answers late", readings.store == StoreReach::Slow);
    setGauge("coriander_neighbours",
             "Instances that can be asked to serve a call",
             static_cast<double>(readings.neighbours));
    m_routed.Add({{"event", "relayed"}}).Set(static_cast<double>(readings.routing.relayed));
    m_routed.Add({{"event", "relayed-served"}}).Set(static_cast<double>(readings.routing.relayedServed));
    m_routed.Add({{"event", "served-for-neighbour"}}).Set(static_cast<double>(readings.routing.servedForNeighbours));
    m_routed.Add({{"event", "refused-without-store"}}).Set(static_cast<double>(readings.routing.refusedWithoutStore));
    setGauge("coriander_requests_in_progress",
             "Calls that are not answered yet",
             static_cast<double>(readings.requestsInProgress));
    for (const ListenerReading &listener : readings.listeners) {
        setListener(listener);
    }
    if (readings.engine != nullptr) {
        const EngineCounts &counts = readings.engine->counts();
        m_runs.Add({{"event", "start-sent"}}).Set(static_cast<double>(counts.startsSent));
        m_runs.Add({{"event", "started"}}).Set(static_cast<double>(counts.runsBegun));
        m_runs.Add({{"event", "preempted"}}).Set(static_cast<double>(counts.preempted));
        m_runs.Add({{"event", "evacuated"}}).Set(static_cast<double>(counts.evacuated));
        m_runs.Add({{"event", "moved"}}).Set(static_cast<double>(counts.moved));
        m_runs.Add({{"event", "completed-after-given-up"}}).Set(static_cast<double>(counts.completedAfterGivenUp));
        for (const auto &[kind, count] : counts.ended) {
            m_runs.Add({{"event", endKindName(kind)}}).Set(static_cast<double>(count));
        }
        setGauge("coriander_backlog_bytes",
                 "Memory of open jobs, as counted against the limit of the backlog",
                 static_cast<double>(readings.engine->backlog().bytes()));
        setGauge("coriander_planning_continued",
                 "Planning passes since this owner's term began that were too long to be done in one go",
                 static_cast<double>(counts.planningContinued));
        setGauge("coriander_jobs", "Jobs that have not ended", static_cast<double>(readings.engine->jobCount()));
        std::size_t silent = 0;
        for (const auto &[id, worker] : readings.engine->workers().all()) {
            silent += worker.silentCalls > 0 ? 1 : 0;
        }
        setGauge("coriander_workers",
                 "Workers known to this owner",
                 static_cast<double>(readings.engine->workers().all().size()));
        setGauge("coriander_workers_slow",
                 "Workers whose learned speed is below three quarters of the typical one",
                 static_cast<double>(readings.engine->slowWorkers()));
        std::size_t runsLeft = 0;
        for (const DataCentreId &dataCentre : readings.engine->evacuatedDataCentres()) {
            runsLeft += readings.engine->runsIn(dataCentre);
        }
        setGauge("coriander_evacuated_data_centres",
                 "Data centres that the operator evacuates",
                 static_cast<double>(readings.engine->evacuatedDataCentres().size()));
        setGauge("coriander_evacuated_data_centre_runs",
                 "Runs that are left in evacuated data centres",
                 static_cast<double>(runsLeft));
        setGauge("coriander_workers_silent", "Workers that did not answer the last order", static_cast<double>(silent));
    }
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace coriander::workflow
