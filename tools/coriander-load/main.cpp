#include "corianderscale/Daemon/CommandLine.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <sstream>

#include "LoadRun.h"

namespace {

namespace options = boost::program_options;
using namespace coriander;

constexpr std::size_t MaximumTokenFileBytes = 4096;

/** Splits `service=share,...`; a service without a share gets 1. */
std::vector<std::pair<std::string, double>> parseMix(const std::string &text)
{
    std::vector<std::pair<std::string, double>> mix;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const std::size_t equals = part.find('=');
        double share = 1;
        std::istringstream number(equals == std::string::npos ? "1" : part.substr(equals + 1));
        if (!(number >> share) || share <= 0 || equals == 0) {
            throw options::error("--mix: expected service=share,... with positive shares");
        }
        mix.emplace_back(part.substr(0, equals), share);
    }
    return mix;
}

std::string readToken(const std::string &file)
{
    std::vector<YamlFault> faults;
    const auto text = readTextFile(file, MaximumTokenFileBytes, faults);
    if (!text) {
        throw options::error("--token-file: " + faults.front().toString());
    }
    return text->substr(0, text->find_first_of("\r\n"));
}

void require(bool condition, const char *message)
{
    if (!condition) {
        throw options::error(message);
    }
}

} // namespace

int main(int argc, char **argv)
{
    LoadSettings settings;
    std::string tokenFile;
    std::string mix;
    std::string atMostOnce;
    options::options_description description(
        "coriander-load: sends requests to gateways at a fixed rate, without waiting for answers\n\nOptions");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("target", options::value(&settings.targets)->required()->composing(), "base address of a gateway; repeatable");
    add("token-file", options::value(&tokenFile)->required(), "file with the bearer token of a caller");
    add("rate", options::value(&settings.rate)->default_value(100), "requests per second");
    add("duration", options::value(&settings.seconds)->default_value(10), "seconds, at most 3600");
    add("mix",
        options::value(&mix)->required(),
        "service=share,...: relative shares of the requests; the service 'jobs' means job submissions");
    add("at-most-once",
        options::value(&atMostOnce),
        "service,...: services that must answer a request repeated with the same key from the first attempt");
    add("burst", options::value(&settings.burst)->default_value(1), "number of requests sent together");
    add("seed", options::value(&settings.seed)->default_value(1), "seed of the random choices");
    std::set<std::string> atMostOnceServices;
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return ExitSuccess;
        }
        if (values.count("version") > 0) {
            std::cout << "coriander-load " << CORIANDER_VERSION << '\n';
            return ExitSuccess;
        }
        options::notify(values);
        settings.token = readToken(tokenFile);
        settings.mix = parseMix(mix);
        // A list of services without shares has the syntax of a mix.
        for (const auto &[service, share] : parseMix(atMostOnce)) {
            atMostOnceServices.insert(service);
        }
        require(!settings.mix.empty(), "--mix: expected service=share,...");
        require(settings.rate > 0 && settings.rate <= 100'000, "--rate: expected more than 0, at most 100000");
        require(settings.seconds > 0 && settings.seconds <= 3600, "--duration: expected more than 0, at most 3600");
        require(settings.burst > 0 && settings.burst <= 10'000, "--burst: expected 1 to 10000");
        require(settings.rate * settings.seconds <= MaximumRequests,
                "--rate and --duration: expected at most 10000000 requests in total");
    } catch (const options::error &error) {
        std::cerr << "coriander-load: " << error.what() << "; see --help\n";
        return ExitUsage;
    }
    LoadRun run(settings, atMostOnceServices);
    const Json summary = run.run();
    std::cout << summary.dump(2) << '\n';
    // Only successful answers that belong to their requests count as finished.
    return summary.at("finished").get<std::int64_t>() > 0 ? ExitSuccess : ExitFailed;
}
