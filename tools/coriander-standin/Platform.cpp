#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Daemon/ShutdownSignals.h"
#include "corianderscale/Standin/PlatformServer.h"
#include "corianderscale/Support/Log.h"

#include <boost/program_options.hpp>

#include <iostream>

#include "Subcommands.h"

namespace options = boost::program_options;
using namespace coriander;

namespace {

std::int64_t readNonNegative(const options::variables_map &values, const char *name)
{
    const auto value = values[name].as<std::int64_t>();
    if (value < 0) {
        throw options::error(std::string("--") + name + " must not be negative");
    }
    return value;
}

PlatformOptions readOptions(const options::variables_map &values)
{
    PlatformOptions result;
    result.writesPerSecond = readNonNegative(values, "writes-per-second");
    result.readsPerSecond = readNonNegative(values, "reads-per-second");
    result.vmListLag = std::chrono::milliseconds(readNonNegative(values, "vm-list-lag-ms"));
    result.vmTimeout = std::chrono::milliseconds(readNonNegative(values, "vm-timeout-ms"));
    return result;
}

int serve(const std::string &listen, const PlatformOptions &platformOptions)
{
    blockShutdownSignals();
    setLogProcess("coriander-standin", "platform");
    PlatformServer server(listen, platformOptions, systemClock());
    TransportError error;
    if (!server.start(error)) {
        logEvent(LogLevel::Error, "start-failed", {{"reason", error.reason}});
        return ExitFailed;
    }
    logEvent(LogLevel::Info, "started", {{"listen", listen}});
    while (!waitForShutdownSignal(std::chrono::seconds(1))) { }
    server.stop();
    logEvent(LogLevel::Info, "stopped");
    return ExitSuccess;
}

} // namespace

/** Runs the stand-in for the platform's table, object store and VM list. */
int runPlatform(int argc, char **argv)
{
    options::options_description description(
        "coriander-standin platform: table service, object store and VM list in memory, for tests only\n\nOptions");
    const auto numberOption = [](std::int64_t defaultValue) {
        return options::value<std::int64_t>()->value_name("N")->default_value(defaultValue);
    };
    description.add_options()("help", "print this help");
    description.add_options()(
        "listen", options::value<std::string>()->value_name("ADDRESS"), "base address, such as http://127.0.0.1:8000");
    description.add_options()(
        "writes-per-second", numberOption(300), "limit of transactions per second, for all clients together");
    description.add_options()(
        "reads-per-second", numberOption(2000), "limit of reads and scans per second, for all clients together");
    description.add_options()("vm-list-lag-ms", numberOption(2000), "age of the VM list that clients get, in ms");
    description.add_options()(
        "vm-timeout-ms", numberOption(10000), "time without an announcement after which a VM is not listed, in ms");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return ExitSuccess;
        }
        if (values.count("listen") == 0) {
            throw options::error("--listen ADDRESS is required");
        }
        return serve(values["listen"].as<std::string>(), readOptions(values));
    } catch (const options::error &error) {
        std::cerr << "coriander-standin platform: " << error.what() << "; see --help\n";
        return ExitUsage;
    }
}
