#pragma once

#include "corianderscale/Protocol/TimelineMessages.h"

#include <string>
#include <vector>

namespace coriander {

/**
 * Draws events as SVG: one lane a process, time from left to right in the order of the events, and a line between
 * consecutive events of different processes that concern the same job, request, attempt or worker.
 *
 * Precondition: the events are in the order of mergeTimelines(). Thread safety: pure function.
 */
std::string timelineSvg(const std::vector<MergedEvent> &events);

} // namespace coriander
