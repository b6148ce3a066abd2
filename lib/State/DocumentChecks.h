#pragma once

#include "corianderscale/State/Document.h"

namespace coriander {

/**
 * Reports faults that the YAML library accepts silently: repeated keys, which would hide a value, and aliases that
 * expand to a very large tree. Returns false when the tree has too many nodes or is nested too deeply to be processed.
 */
bool checkYamlStructure(const YAML::Node &root, const std::string &file, std::vector<YamlFault> &faults);

/** Reports an unknown time zone. */
void checkTimeZone(YamlMap &root, const std::string &timeZone);

/**
 * Reports guarantees that exceed the quota, name unknown data centres, or do not all fit into the racks at the same
 * time. Precondition: the document was read from @p root without faults, so that the indexes of both agree.
 */
void checkGuarantees(const YAML::Node &root,
                     const std::string &file,
                     const Document &document,
                     std::vector<YamlFault> &faults);

} // namespace coriander
