#pragma once

#include "corianderscale/State/Document.h"

namespace coriander {

/**
 * Reports what the YAML library accepts silently: repeated keys, which would hide a value, and aliases that expand to
 * an enormous tree. Returns false when the tree is too large to be read further.
 */
bool checkYamlStructure(const YAML::Node &root, const std::string &file, std::vector<YamlFault> &faults);

/** Reports an unknown time zone. */
void checkTimeZone(YamlMap &root, const std::string &timeZone);

/**
 * Reports guarantees above a quota, in unknown data centres, or that cannot all be packed at once. Precondition: the
 * document was read from @p root without faults, so that indexes of both agree.
 */
void checkGuarantees(const YAML::Node &root,
                     const std::string &file,
                     const Document &document,
                     std::vector<YamlFault> &faults);

} // namespace coriander
