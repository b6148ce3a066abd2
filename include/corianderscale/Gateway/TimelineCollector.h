#pragma once

#include "corianderscale/Coordination/Member.h"
#include "corianderscale/Protocol/TimelineMessages.h"
#include "corianderscale/Support/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace coriander {

/** Events of several processes, and the processes that gave no valid answer in time. */
struct CollectedTimelines {
    std::vector<ProcessTimeline> timelines;
    std::vector<InstanceId> unreachable;
};

/** Sends a peer message; the completion is called once, on any thread, by the deadline. */
using SendTimelineQuery = std::function<void(const std::string &peerAddress,
                                             const std::string &message,
                                             std::string body,
                                             MonotonicTime deadline,
                                             std::function<void(std::optional<std::string>)> done)>;

/**
 * Queries the events of all other members and adds the events of this process.
 *
 * Blocks until all members have answered or the deadline has passed. Precondition: not called on the thread that
 * completes peer messages. Thread safety: any other thread.
 */
CollectedTimelines collectTimelines(const InstanceId &self,
                                    const std::vector<Member> &others,
                                    const TimelineFilter &filter,
                                    MonotonicTime deadline,
                                    const SendTimelineQuery &send);

} // namespace coriander
