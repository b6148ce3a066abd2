#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Daemon/ShutdownSignals.h"
#include "corianderscale/Standin/WorkerServer.h"
#include "corianderscale/Support/Log.h"

#include <boost/program_options.hpp>

#include <iostream>

#include "Subcommands.h"

namespace {

using namespace coriander;
namespace options = boost::program_options;

constexpr std::size_t IncarnationRandomBytes = 6;

struct WorkerOptions {
    WorkerServerSettings server;
    WorkerModelSettings model;
    std::string id;
    std::string dataCentre;
    std::string rack;
    std::int64_t position = 0;
    std::int64_t cores = 32;
    std::int64_t memoryMb = 65536;
    std::int64_t accelerators = 8;
    std::int64_t usageIntervalMs = 60000;
};

options::options_description describeOptions(WorkerOptions &values)
{
    options::options_description description(
        "coriander-standin worker: a worker that simulates tasks with timers\n\nOptions");
    auto add = description.add_options();
    add("help", "print this help");
    add("listen", options::value(&values.server.listen)->required(), "base address, such as http://127.0.0.1:7001");
    add("platform", options::value(&values.server.platform)->required(), "base address of the platform");
    add("id", options::value(&values.id)->required(), "id of the worker");
    add("data-centre", options::value(&values.dataCentre)->required(), "id of the data centre");
    add("rack", options::value(&values.rack)->default_value("r1"), "id of the rack");
    add("position", options::value(&values.position)->default_value(0), "position in the rack");
    add("cores", options::value(&values.cores)->default_value(values.cores), "processor cores");
    add("memory-mb", options::value(&values.memoryMb)->default_value(values.memoryMb), "memory in MiB");
    add("accelerators", options::value(&values.accelerators)->default_value(values.accelerators), "accelerators");
    add("ledger", options::value(&values.server.ledgerFile), "file that gets a line per started and ended task");
    add("usage-interval-ms",
        options::value(&values.usageIntervalMs)->default_value(values.usageIntervalMs),
        "interval between reports of the resource use of running tasks, in ms");
    add("fail-all", options::bool_switch(&values.model.failsAllTasks), "fail every task at its start");
    return description;
}

WorkerInfo makeWorkerInfo(const WorkerOptions &values)
{
    constexpr std::int64_t MilliCoresPerCore = 1000;
    WorkerInfo info;
    info.id = WorkerId(values.id);
    info.incarnation = InstanceId(values.id + "-" + randomHex(IncarnationRandomBytes));
    info.dataCentre = DataCentreId(values.dataCentre);
    info.rack = RackId(values.rack);
    info.position = values.position;
    info.cores = MilliCores(values.cores * MilliCoresPerCore);
    info.memory = MemoryMib(values.memoryMb);
    info.accelerators = Accelerators(values.accelerators);
    return info;
}

} // namespace

int runWorker(int argc, char **argv)
{
    WorkerOptions values;
    const options::options_description description = describeOptions(values);
    try {
        options::variables_map parsed;
        options::store(options::parse_command_line(argc, argv, description), parsed);
        if (parsed.count("help") > 0) {
            std::cout << description;
            return ExitSuccess;
        }
        options::notify(parsed);
    } catch (const options::error &error) {
        std::cerr << "coriander-standin worker: " << error.what() << "; see --help\n";
        return ExitUsage;
    }
    blockShutdownSignals();
    setLogProcess("coriander-standin", values.id);
    values.model.usageInterval = std::chrono::milliseconds(values.usageIntervalMs);
    WorkerServer server(values.server, makeWorkerInfo(values), values.model, systemClock());
    std::string reason;
    if (!server.start(reason)) {
        std::cerr << "coriander-standin worker: " << reason << '\n';
        return ExitFailed;
    }
    while (!waitForShutdownSignal(std::chrono::seconds(60))) { }
    server.stop();
    return ExitSuccess;
}
