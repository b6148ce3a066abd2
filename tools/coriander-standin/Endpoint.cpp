#include "corianderscale/Daemon/CommandLine.h"
#include "corianderscale/Daemon/ShutdownSignals.h"
#include "corianderscale/Protocol/TableMessages.h"
#include "corianderscale/Standin/EndpointServer.h"
#include "corianderscale/Support/Log.h"
#include "corianderscale/Transport/HttpClient.h"

#include <boost/program_options.hpp>

#include <iostream>

#include "Subcommands.h"

namespace {

namespace options = boost::program_options;
using namespace coriander;

/** The platform stand-in stops listing a VM that does not announce itself within --vm-timeout-ms. */
constexpr Duration AnnounceInterval = std::chrono::seconds(2);
constexpr Duration AnnounceTimeout = std::chrono::seconds(1);
constexpr Duration DrainTimeout = std::chrono::seconds(30);
constexpr Duration SignalPollInterval = std::chrono::milliseconds(100);
/** A leaving endpoint stays reachable this long, so that gateways learn that it leaves and fetch the stored answers. */
constexpr Duration LeaveGrace = std::chrono::seconds(3);

struct Arguments {
    std::string listen;
    std::string platform;
    std::string id;
    std::string dataCentre;
    std::string services;
    std::int64_t slots = 8;
    std::int64_t workMs = 10;
    std::string ledger;
};

std::vector<ServiceName> splitServices(const std::string &text)
{
    std::vector<ServiceName> services;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        if (comma > start) {
            services.emplace_back(text.substr(start, comma - start));
        }
        start = comma + 1;
    }
    return services;
}

options::options_description describeOptions(Arguments &arguments)
{
    options::options_description description("coriander-standin endpoint: stand-in for a request endpoint\n\nOptions");
    auto add = description.add_options();
    add("help", "print this help");
    add("listen", options::value(&arguments.listen)->required(), "base address, such as http://127.0.0.1:8300");
    add("platform", options::value(&arguments.platform)->required(), "base address of the platform");
    add("id", options::value(&arguments.id)->required(), "id of the endpoint");
    add("data-centre", options::value(&arguments.dataCentre)->required(), "data centre of the endpoint");
    add("services", options::value(&arguments.services)->required(), "names of services, separated by commas");
    add("slots", options::value(&arguments.slots)->default_value(8), "number of attempts that can run at once");
    add("work-ms", options::value(&arguments.workMs)->default_value(10), "run time of one attempt, in ms");
    add("ledger", options::value(&arguments.ledger), "file that gets a line for each started and finished attempt");
    return description;
}

void announce(HttpClient &client, const Clock &clock, const Arguments &arguments, const std::string &state)
{
    VmEntry entry;
    entry.id = arguments.id;
    entry.role = "endpoint";
    entry.dataCentre = DataCentreId(arguments.dataCentre);
    entry.address = arguments.listen;
    entry.state = state;
    HttpRequest request;
    request.method = "POST";
    request.path = "/vms";
    request.body = encodeMessage(entry);
    TransportError error;
    const auto response = client.call(arguments.platform, request, clock.now() + AnnounceTimeout, error);
    if (!response || response->status >= 300) {
        logEvent(LogLevel::Warning, "announce-failed", {{"platform", arguments.platform}, {"reason", error.reason}});
    }
}

void serveUntilSignal(HttpClient &client, const Clock &clock, const Arguments &arguments)
{
    MonotonicTime announceAt = clock.now();
    while (!waitForShutdownSignal(SignalPollInterval)) {
        if (clock.now() >= announceAt) {
            announce(client, clock, arguments, "live");
            announceAt = clock.now() + AnnounceInterval;
        }
    }
}

void drain(EndpointServer &server, const Clock &clock)
{
    const MonotonicTime reachableUntil = clock.now() + LeaveGrace;
    const MonotonicTime drainDeadline = clock.now() + DrainTimeout;
    while (clock.now() < drainDeadline && (!server.isDrained() || clock.now() < reachableUntil)) {
        if (waitForShutdownSignal(SignalPollInterval)) {
            logEvent(LogLevel::Warning, "endpoint-stopped", {{"reason", "second signal"}});
            return;
        }
    }
}

int serve(const Arguments &arguments)
{
    EndpointModelSettings settings;
    settings.id = EndpointId(arguments.id);
    settings.incarnation = InstanceId("endpoint-" + randomHex(6));
    settings.dataCentre = DataCentreId(arguments.dataCentre);
    settings.services = splitServices(arguments.services);
    settings.slots = arguments.slots;
    settings.workTime = std::chrono::milliseconds(arguments.workMs);
    setLogProcess("coriander-standin", settings.incarnation.value());
    blockShutdownSignals();
    const Clock clock = systemClock();
    EndpointServer server(settings, arguments.listen, arguments.ledger);
    TransportError error;
    if (!server.start(error)) {
        std::cerr << "coriander-standin endpoint: " << error.reason << '\n';
        return ExitFailed;
    }
    HttpClient client(clock);
    logEvent(LogLevel::Info, "endpoint-started", {{"id", arguments.id}, {"listen", arguments.listen}});
    serveUntilSignal(client, clock, arguments);
    server.leave();
    announce(client, clock, arguments, "leaving");
    drain(server, clock);
    logEvent(LogLevel::Info, "endpoint-stopped", {{"id", arguments.id}, {"drained", server.isDrained()}});
    return ExitSuccess;
}

} // namespace

int runEndpoint(int argc, char **argv)
{
    Arguments arguments;
    const options::options_description description = describeOptions(arguments);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return ExitSuccess;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "coriander-standin endpoint: " << error.what() << "; see --help\n";
        return ExitUsage;
    }
    return serve(arguments);
}
