#pragma once

#include "corianderscale/Protocol/TimelineMessages.h"

#include <string>
#include <vector>

namespace coriander {

/**
 * Draws events as SVG: one lane per process, the events from left to right in their order, and a line between
 * consecutive events of different processes that share the value of a job, request, attempt, worker or key field.
 *
 * Precondition: the events are in the order of mergeTimelines(). Thread safety: pure function.
 */
std::string timelineSvg(const std::vector<MergedEvent> &events);

} // namespace coriander
