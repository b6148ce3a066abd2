#include "corianderscale/PolicyBench/CommandLine.h"

#include "corianderscale/PolicyBench/Report.h"
#include "corianderscale/PolicyBench/ScenarioFile.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>

namespace coriander::policybench {

namespace {

namespace options = boost::program_options;

/** Exit codes of section 5 of the design. */
constexpr int Success = 0;
constexpr int Failed = 1;
constexpr int WrongUsage = 2;
constexpr int InvalidFile = 3;

struct Request {
    std::vector<std::string> scenarios;
    std::vector<std::string> sites;
    std::vector<std::string> policies;
    std::uint64_t seeds = 1;
    std::uint64_t seedBase = 1000;
    std::string plot;
    std::string file;
    bool summary = false;
};

options::options_description describe(Request &request)
{
    options::options_description description(
        "coriander-policy: drives the decision library with seeded event streams and compares policies\n\nOptions");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("list", "list scenarios, sites and policies");
    add("scenario", options::value(&request.scenarios)->composing()->value_name("NAME"), "run only this scenario");
    add("site", options::value(&request.sites)->composing()->value_name("NAME"), "trinacria, saltmist or target");
    add("policy", options::value(&request.policies)->composing()->value_name("NAME"), "run only this policy");
    add("seeds", options::value(&request.seeds)->value_name("N"), "number of seeds (1)");
    add("seed-base", options::value(&request.seedBase)->value_name("N"), "first seed (1000)");
    add("plot", options::value(&request.plot)->value_name("DIR"), "write SVG charts of the medians");
    add("scenario-file", options::value(&request.file)->value_name("FILE"), "run the stream of this YAML file");
    add("summary", options::bool_switch(&request.summary), "print medians, ratios and targets instead of each value");
    return description;
}

void list(std::ostream &out)
{
    for (const Scenario &scenario : scenarios()) {
        out << "scenario " << scenario.name << ": " << scenario.description << '\n';
    }
    for (const char *site : {"trinacria", "saltmist", "target"}) {
        out << "site " << site << '\n';
    }
    for (const std::string &policy : policyNames()) {
        out << "policy " << policy << '\n';
    }
}

bool known(const Request &request, std::string &reason)
{
    for (const std::string &name : request.scenarios) {
        const bool found = std::any_of(scenarios().begin(), scenarios().end(), [&name](const Scenario &scenario) {
            return scenario.name == name;
        });
        if (!found) {
            reason = "unknown scenario " + name;
            return false;
        }
    }
    for (const std::string &name : request.sites) {
        if (!makeSite(name)) {
            reason = "unknown site " + name;
            return false;
        }
    }
    for (const std::string &name : request.policies) {
        if (!decision::makePolicy(name)) {
            reason = "unknown policy " + name;
            return false;
        }
    }
    return true;
}

using Runner = std::function<std::optional<Metrics>(const Site &, const std::string &, std::uint64_t)>;

/** Runs one scenario for every site, policy and seed; returns false when a run gave no result. */
bool runAll(const Request &request, const std::string &name, const Runner &runner, std::vector<Measurement> &all)
{
    for (const std::string &siteName : request.sites) {
        const Site site = *makeSite(siteName);
        for (std::uint64_t seed = request.seedBase; seed < request.seedBase + request.seeds; ++seed) {
            for (const std::string &policy : request.policies) {
                const std::optional<Metrics> metrics = runner(site, policy, seed);
                if (!metrics) {
                    return false;
                }
                for (const auto &[metric, value] : *metrics) {
                    all.push_back({name, siteName, policy, metric, value, seed});
                    if (!request.summary) {
                        writeMeasurement(std::cout, all.back());
                    }
                }
            }
        }
    }
    return true;
}

int runFile(const Request &request, std::vector<Measurement> &all)
{
    std::vector<YamlFault> faults;
    const std::optional<std::string> content = readTextFile(request.file, MaximumScenarioBytes, faults);
    bool complete = content.has_value();
    if (content) {
        const Runner runner = [&](const Site &site, const std::string &policy, std::uint64_t seed) {
            std::optional<Metrics> metrics;
            const auto parsed = parseScenarioFile(*content, request.file, site, seed, faults);
            if (parsed) {
                metrics = commonMetrics(runStream(parsed->stream, *decision::makePolicy(policy)));
            }
            return metrics;
        };
        complete = runAll(request, "file", runner, all);
    }
    for (const YamlFault &fault : faults) {
        std::cerr << fault.toString() << '\n';
    }
    return complete ? Success : InvalidFile;
}

int report(const Request &request, const std::vector<Measurement> &all)
{
    if (request.summary) {
        writeSummary(std::cout, all);
    }
    std::string reason;
    if (!request.plot.empty() && !writePlots(request.plot, all, reason)) {
        std::cerr << "coriander-policy: " << reason << '\n';
        return Failed;
    }
    return Success;
}

int runRequest(Request request)
{
    if (request.sites.empty()) {
        request.sites = {"trinacria"};
    }
    if (request.policies.empty()) {
        request.policies = policyNames();
    }
    std::vector<Measurement> all;
    if (!request.file.empty()) {
        const int code = runFile(request, all);
        return code == Success ? report(request, all) : code;
    }
    for (const Scenario &scenario : scenarios()) {
        const bool wanted = request.scenarios.empty()
            || std::find(request.scenarios.begin(), request.scenarios.end(), scenario.name) != request.scenarios.end();
        if (wanted) {
            runAll(request, scenario.name, scenario.run, all);
        }
    }
    return report(request, all);
}

} // namespace

int runPolicyTool(int argc, char **argv)
{
    Request request;
    const options::options_description description = describe(request);
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "coriander-policy: " << error.what() << "; see --help\n";
        return WrongUsage;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return Success;
    }
    if (values.count("version") > 0) {
        std::cout << "coriander-policy " << CORIANDER_VERSION << '\n';
        return Success;
    }
    if (values.count("list") > 0) {
        list(std::cout);
        return Success;
    }
    std::string reason;
    if (!known(request, reason)) {
        std::cerr << "coriander-policy: " << reason << "; see --list\n";
        return WrongUsage;
    }
    return runRequest(std::move(request));
}

} // namespace coriander::policybench
