#pragma once

#include "corianderscale/Support/YamlReader.h"
#include "corianderscale/Workflow/JobIntake.h"
#include "corianderscale/Workflow/NodeMetrics.h"
#include "corianderscale/Workflow/OwnerDuty.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriander::workflow {

/** Settings of one instance. */
struct NodeSettings {
    std::string instance;
    DataCentreId dataCentre;
    /** `IPv4:port` for callers, for readiness checks and for metrics; the last may be empty. */
    std::string callerListen;
    std::string readinessListen;
    std::string metricsListen;
    /** `IPv4:port` of the store. */
    std::string store;
    /** `IPv4:port` of the advisor; empty where there is none. */
    std::string advisor;
    /** Cores that the process may use. */
    double processorShare = 0.5;
    /** Longest lease that workers grant. */
    Duration longestLease = std::chrono::seconds(10);
    /** How long the state of an ended job is shown. */
    Duration stateKeep = std::chrono::seconds(120);
    /** Time from SIGTERM to SIGKILL. */
    Duration grace = std::chrono::seconds(6);
};

/**
 * Reads `instance`, `data_centre`, `caller_listen`, `readiness_listen`, `metrics_listen`, `store`, `advisor`,
 * `processor_share`, `longest_lease_ms`, `state_keep_s`, `grace_s` and `log_level`.
 */
NodeSettings readNodeSettings(YamlMap &settings);

/** Where the configuration is stored, and how it is read. */
struct ConfigurationSource {
    std::string table;
    std::string key;
    std::function<std::optional<Catalogue>(const std::string &bytes, ProtocolError &)> decode;
};

/** What an instance's callers and the platform see of it. */
class NodeView
{
public:
    virtual ~NodeView() = default;
    /** The configuration in force; null before the first one. */
    virtual const Catalogue *catalogue() const = 0;
    virtual JobIntake &intake() = 0;
    /** Counts an answered call and logs one that failed; @p subject is the job id or the path that was asked for. */
    virtual void callAnswered(const std::string &kind,
                              const std::string &subject,
                              const CallAnswer &answer,
                              MonotonicTime startedAt)
        = 0;
    /** Whether the balancer should send connections here. */
    virtual bool ready() const = 0;
    virtual const Clock &clock() const = 0;
};

/** Listeners that speak the callers' protocol; made by the platform's adapter. */
class CallerFront
{
public:
    virtual ~CallerFront() = default;
    virtual bool listen(const std::string &callers, const std::string &readiness, TransportError &error) = 0;
    virtual void setLimits(const CallerLimits &limits) = 0;
    /** From now on each response closes its connection. */
    virtual void startDraining() = 0;
    virtual void closeIdle() = 0;
    virtual std::size_t requestsInProgress() const = 0;
};

/** The platform's side of an instance. */
struct PlatformBinding {
    std::unique_ptr<RowStore> store;
    std::unique_ptr<WorkerOrders> orders;
    std::unique_ptr<Advisor> advisor;
    ConfigurationSource configuration;
    DiscoverySource discovery;
    std::function<std::unique_ptr<CallerFront>(NodeView &)> makeFront;
};

/**
 * One instance: takes calls, follows the configuration, takes part in the election. One thread runs all of it.
 */
class NodeDaemon
{
public:
    using MakeBinding = std::function<PlatformBinding(
        boost::asio::io_context &loop, const NodeSettings &settings, const Clock &clock)>;

    NodeDaemon(NodeSettings settings, Clock clock, const MakeBinding &makeBinding);
    ~NodeDaemon();
    NodeDaemon(const NodeDaemon &) = delete;
    NodeDaemon &operator=(const NodeDaemon &) = delete;

    /** Runs until a signal or stop(); returns the exit code. */
    int run();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace coriander::workflow
