#pragma once

#include "corianderscale/Support/YamlReader.h"
#include "corianderscale/Workflow/CallRelay.h"
#include "corianderscale/Workflow/CallRouter.h"
#include "corianderscale/Workflow/ClientLimits.h"
#include "corianderscale/Workflow/JobIntake.h"
#include "corianderscale/Workflow/NeighbourTable.h"
#include "corianderscale/Workflow/NodeMetrics.h"
#include "corianderscale/Workflow/OwnerController.h"
#include "corianderscale/Workflow/StoreWatch.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriander::workflow {

/** Settings of one instance. */
struct NodeSettings {
    std::string instance;
    DataCentreId dataCentre;
    /** `IPv4:port` for callers, for readiness checks and for metrics; the last may be empty. */
    std::string callerListen;
    std::string readinessListen;
    std::string metricsListen;
    /** `IPv4:port` for calls of other instances; empty if calls are not relayed. */
    std::string relayListen;
    /** `IPv4:port` of the store. */
    std::string store;
    /** `IPv4:port` of the advisor; empty where there is none. */
    std::string advisor;
    /** Number of cores that the process may use. */
    double processorShare = 0.5;
    /** Number of descriptors that the process may open. */
    std::size_t descriptors = 4096;
    /** Memory that the process may use, in MiB. */
    std::size_t memoryMib = 512;
    ClientLimits clients;
    /** Upper limit that workers apply to every lease. */
    Duration longestLease = std::chrono::seconds(10);
    /** How long the state of an ended job can be read. */
    Duration stateRetention = std::chrono::seconds(120);
    /** Time between SIGTERM and SIGKILL. */
    Duration grace = std::chrono::seconds(6);
};

/**
 * Reads `instance`, `data_centre`, `caller_listen`, `readiness_listen`, `metrics_listen`, `relay_listen`, `store`,
 * `advisor`, `processor_share`, `descriptors`, `memory_mb`, `longest_lease_ms`, `state_keep_s`, `grace_s` and
 * `log_level`, and the keys of readClientLimits().
 */
NodeSettings readNodeSettings(YamlMap &settings);

/** Number of connections to workers and the store that the process may open; the other descriptors are left to callers
 * and files. */
std::size_t maximumOutgoingConnections(const NodeSettings &settings);

/** Row of the store that holds the configuration, and its decoder. */
struct ConfigurationSource {
    std::string table;
    std::string key;
    std::function<std::optional<Catalogue>(const std::string &bytes, ProtocolError &)> decode;
};

/** The parts of an instance that the caller listeners use. */
class NodeContext
{
public:
    virtual ~NodeContext() = default;
    /** The configuration in force; null until one was read. */
    virtual const Catalogue *catalogue() const = 0;
    virtual JobIntake &intake() = 0;
    /** Whether the owner can hold no more open jobs. */
    virtual bool backlogFull() const = 0;
    /** Serves a call here or through another instance. */
    virtual void route(const CallerCall &call, CallDone done) = 0;
    /** Counts an answered call and logs it if it failed; @p subject is the job id or the path of the call. */
    virtual void callAnswered(const std::string &kind,
                              const std::string &subject,
                              const CallAnswer &answer,
                              MonotonicTime startedAt)
        = 0;
    /** Whether the balancer should send connections to this instance. */
    virtual bool ready() const = 0;
    virtual const Clock &clock() const = 0;
};

/** Servers for calls and for readiness checks; implemented by the platform's adapter. */
class CallerServer
{
public:
    virtual ~CallerServer() = default;
    /** Serves a call on this instance; answers by @p deadline. */
    virtual void serve(const CallerCall &call, MonotonicTime deadline, CallDone done) = 0;
    virtual bool listen(const std::string &callers, const std::string &readiness, TransportError &error) = 0;
    virtual void setLimits(const CallerLimits &limits) = 0;
    /** From then on, each response closes its connection. */
    virtual void startDraining() = 0;
    virtual void closeIdle() = 0;
    virtual std::size_t requestsInProgress() const = 0;
    /** What the listeners hold and have refused. */
    virtual std::vector<ListenerReading> listeners() const = 0;
};

/** The platform's implementations of the interfaces that an instance uses. */
struct PlatformBinding {
    std::unique_ptr<RowStore> store;
    std::unique_ptr<WorkerOrders> orders;
    std::unique_ptr<Advisor> advisor;
    ConfigurationSource configuration;
    DiscoverySource discovery;
    EvacuationSource evacuations;
    std::function<std::unique_ptr<CallerServer>(NodeContext &)> makeCallerServer;
};

/**
 * One instance: serves calls, follows the configuration and takes part in the election. All of it runs on one thread.
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

    /** Runs until SIGTERM or SIGINT has been handled; returns the exit code. */
    int run();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace coriander::workflow
