#include "corianderscale/PolicyBench/Report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

namespace coriander::policybench {

namespace {

using Json = nlohmann::ordered_json;

struct Key {
    std::string site;
    std::string scenario;
    std::string metric;

    auto operator<=>(const Key &) const = default;
};

using BySeed = std::map<std::uint64_t, double>;
using ByPolicy = std::map<std::string, BySeed>;

std::map<Key, ByPolicy> collect(const std::vector<Measurement> &measurements)
{
    std::map<Key, ByPolicy> result;
    for (const Measurement &m : measurements) {
        result[{m.site, m.scenario, m.metric}][m.policy][m.seed] = m.value;
    }
    return result;
}

double medianOf(const BySeed &values)
{
    std::vector<double> list;
    for (const auto &[seed, value] : values) {
        list.push_back(value);
    }
    return median(std::move(list));
}

/** Median, over the seeds of both policies, of the ratio of their values. */
double ratioOf(const BySeed &values, const BySeed &baseline)
{
    std::vector<double> ratios;
    for (const auto &[seed, value] : values) {
        const auto other = baseline.find(seed);
        if (other != baseline.end() && other->second != 0) {
            ratios.push_back(value / other->second);
        }
    }
    return median(std::move(ratios));
}

std::string bar(const std::string &policy, double value, double largest, std::size_t row)
{
    constexpr double Width = 300;
    const double length = largest > 0 ? Width * value / largest : 0;
    const std::size_t y = 30 + row * 22;
    return fmt::format("<text x=\"4\" y=\"{}\">{}</text><rect x=\"120\" y=\"{}\" width=\"{:.0f}\" height=\"16\" "
                       "fill=\"{}\"/><text x=\"{:.0f}\" y=\"{}\">{:.4g}</text>\n",
                       y + 13,
                       policy,
                       y,
                       length,
                       row == 0 ? "#2a7" : "#888",
                       124 + length,
                       y + 13,
                       value);
}

std::string chart(const Key &key, const ByPolicy &policies)
{
    double largest = 0;
    std::vector<std::pair<std::string, double>> rows;
    for (const std::string &name : policyNames()) {
        const auto found = policies.find(name);
        if (found != policies.end()) {
            rows.emplace_back(name, medianOf(found->second));
            largest = std::max(largest, rows.back().second);
        }
    }
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"480\" height=\"{}\" "
                                  "font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"4\" y=\"18\">{}: {}, {}, "
                                  "median</text>\n",
                                  40 + rows.size() * 22,
                                  key.site,
                                  key.scenario,
                                  key.metric);
    for (std::size_t row = 0; row < rows.size(); ++row) {
        svg += bar(rows[row].first, rows[row].second, largest, row);
    }
    return svg + "</svg>\n";
}

} // namespace

void writeMeasurement(std::ostream &out, const Measurement &measurement)
{
    const Json line = {{"scenario", measurement.scenario},
                       {"site", measurement.site},
                       {"policy", measurement.policy},
                       {"metric", measurement.metric},
                       {"value", measurement.value},
                       {"seed", measurement.seed}};
    out << line.dump() << '\n' << std::flush;
}

void writeSummary(std::ostream &out, const std::vector<Measurement> &measurements)
{
    const std::map<Key, ByPolicy> collected = collect(measurements);
    for (const auto &[key, policies] : collected) {
        for (const auto &[policy, values] : policies) {
            const Json line = {{"summary", "median"},
                               {"site", key.site},
                               {"scenario", key.scenario},
                               {"policy", policy},
                               {"metric", key.metric},
                               {"value", medianOf(values)},
                               {"seeds", values.size()}};
            out << line.dump() << '\n';
        }
    }
    for (const auto &[key, policies] : collected) {
        const auto own = policies.find(policyNames().front());
        for (const Target &target : targets()) {
            if (target.scenario != key.scenario || target.metric != key.metric || own == policies.end()) {
                continue;
            }
            const auto baseline = policies.find(target.baseline);
            if (!target.baseline.empty() && baseline == policies.end()) {
                continue;
            }
            const double value
                = target.baseline.empty() ? medianOf(own->second) : ratioOf(own->second, baseline->second);
            const bool met = target.atMost ? value <= target.bound : value >= target.bound;
            const Json line = {{"summary", "target"},
                               {"site", key.site},
                               {"scenario", key.scenario},
                               {"metric", key.metric},
                               {"relative_to", target.baseline},
                               {"value", value},
                               {target.atMost ? "at_most" : "at_least", target.bound},
                               {"met", met}};
            out << line.dump() << '\n';
        }
    }
}

bool writePlots(const std::string &directory, const std::vector<Measurement> &measurements, std::string &reason)
{
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    for (const auto &[key, policies] : collect(measurements)) {
        const std::string path = fmt::format("{}/{}-{}-{}.svg", directory, key.site, key.scenario, key.metric);
        std::ofstream file(path);
        file << chart(key, policies);
        if (!file) {
            reason = "cannot write " + path + "; check that the directory exists and is writable";
            return false;
        }
    }
    return true;
}

} // namespace coriander::policybench
