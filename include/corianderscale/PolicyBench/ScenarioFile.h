#pragma once

#include "corianderscale/PolicyBench/Stream.h"
#include "corianderscale/Support/YamlReader.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander::policybench {

/** Maximum size of a scenario file. */
inline constexpr std::size_t MaximumScenarioBytes = 1024 * 1024;

/** A stream described in YAML; docs/experiments.md gives the format. */
struct ScenarioFile {
    std::string name;
    Stream stream;
};

/**
 * Parses a scenario file for the site and rejects unknown keys; the seed determines the random parts of the stream.
 * Returns no value when there is any fault.
 */
std::optional<ScenarioFile> parseScenarioFile(const std::string &content,
                                              const std::string &file,
                                              const Site &site,
                                              std::uint64_t seed,
                                              std::vector<YamlFault> &faults);

} // namespace coriander::policybench
