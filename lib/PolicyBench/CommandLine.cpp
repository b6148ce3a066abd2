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

struct RunOptions {
    std::vector<std::string> scenarios;
    std::vector<std::string> sites;
    std::vector<std::string> policies;
    std::uint64_t seeds = 1;
    std::uint64_t seedBase = 1000;
    std::string plot;
    std::string file;
    bool summary = false;
};

options::options_description describe(RunOptions &runOptions)
{
    options::options_description description(
        "coriander-policy: drives the decision library with seeded event streams and compares policies\n\nOptions");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("list", "list scenarios, sites and policies");
    add("scenario", options::value(&runOptions.scenarios)->composing()->value_name("NAME"), "run only this scenario");
    add("site", options::value(&runOptions.sites)->composing()->value_name("NAME"), "trinacria, saltmist or target");
    add("policy", options::value(&runOptions.policies)->composing()->value_name("NAME"), "run only this policy");
    add("seeds", options::value(&runOptions.seeds)->value_name("N"), "number of seeds (1)");
    add("seed-base", options::value(&runOptions.seedBase)->value_name("N"), "first seed (1000)");
    add("plot", options::value(&runOptions.plot)->value_name("DIR"), "write SVG charts of the medians");
    add("scenario-file", options::value(&runOptions.file)->value_name("FILE"), "run the stream of this YAML file");
    add("summary",
        options::bool_switch(&runOptions.summary),
        "print medians, ratios and targets instead of each value");
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

bool hasKnownNames(const RunOptions &runOptions, std::string &reason)
{
    for (const std::string &name : runOptions.scenarios) {
        const bool found = std::any_of(scenarios().begin(), scenarios().end(), [&name](const Scenario &scenario) {
            return scenario.name == name;
        });
        if (!found) {
            reason = "unknown scenario " + name;
            return false;
        }
    }
    for (const std::string &name : runOptions.sites) {
        if (!makeSite(name)) {
            reason = "unknown site " + name;
            return false;
        }
    }
    for (const std::string &name : runOptions.policies) {
        if (!decision::makePolicy(name)) {
            reason = "unknown policy " + name;
            return false;
        }
    }
    return true;
}

using Runner = std::function<std::optional<Metrics>(const Site &, const std::string &, std::uint64_t)>;

/** Runs one scenario for every site, policy and seed; returns false when a run gave no result. */
bool runAll(const RunOptions &runOptions, const std::string &name, const Runner &runner, std::vector<Measurement> &all)
{
    for (const std::string &siteName : runOptions.sites) {
        const Site site = *makeSite(siteName);
        for (std::uint64_t seed = runOptions.seedBase; seed < runOptions.seedBase + runOptions.seeds; ++seed) {
            for (const std::string &policy : runOptions.policies) {
                const std::optional<Metrics> metrics = runner(site, policy, seed);
                if (!metrics) {
                    return false;
                }
                for (const auto &[metric, value] : *metrics) {
                    all.push_back({name, siteName, policy, metric, value, seed});
                    if (!runOptions.summary) {
                        writeMeasurement(std::cout, all.back());
                    }
                }
            }
        }
    }
    return true;
}

int runFile(const RunOptions &runOptions, std::vector<Measurement> &all)
{
    std::vector<YamlFault> faults;
    const std::optional<std::string> content = readTextFile(runOptions.file, MaximumScenarioBytes, faults);
    bool complete = content.has_value();
    if (content) {
        const Runner runner = [&](const Site &site, const std::string &policy, std::uint64_t seed) {
            std::optional<Metrics> metrics;
            const auto parsed = parseScenarioFile(*content, runOptions.file, site, seed, faults);
            if (parsed) {
                metrics = commonMetrics(runStream(parsed->stream, *decision::makePolicy(policy)));
            }
            return metrics;
        };
        complete = runAll(runOptions, "file", runner, all);
    }
    for (const YamlFault &fault : faults) {
        std::cerr << fault.toString() << '\n';
    }
    return complete ? Success : InvalidFile;
}

int report(const RunOptions &runOptions, const std::vector<Measurement> &all)
{
    if (runOptions.summary) {
        writeSummary(std::cout, all);
    }
    std::string reason;
    if (!runOptions.plot.empty() && !writePlots(runOptions.plot, all, reason)) {
        std::cerr << "coriander-policy: " << reason << '\n';
        return Failed;
    }
    return Success;
}

int runRequest(RunOptions runOptions)
{
    if (runOptions.sites.empty()) {
        runOptions.sites = {"trinacria"};
    }
    if (runOptions.policies.empty()) {
        runOptions.policies = policyNames();
    }
    std::vector<Measurement> all;
    if (!runOptions.file.empty()) {
        const int code = runFile(runOptions, all);
        return code == Success ? report(runOptions, all) : code;
    }
    for (const Scenario &scenario : scenarios()) {
        const bool wanted = runOptions.scenarios.empty()
            || std::find(runOptions.scenarios.begin(), runOptions.scenarios.end(), scenario.name)
                != runOptions.scenarios.end();
        if (wanted) {
            runAll(runOptions, scenario.name, scenario.run, all);
        }
    }
    return report(runOptions, all);
}

} // namespace

int runPolicyTool(int argc, char **argv)
{
    RunOptions runOptions;
    const options::options_description description = describe(runOptions);
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
    if (!hasKnownNames(runOptions, reason)) {
        std::cerr << "coriander-policy: " << reason << "; see --list\n";
        return WrongUsage;
    }
    return runRequest(std::move(runOptions));
}

} // namespace coriander::policybench
