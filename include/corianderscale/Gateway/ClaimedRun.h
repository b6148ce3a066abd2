#pragma once

#include "corianderscale/Gateway/AttemptSender.h"
#include "corianderscale/Gateway/RequestRecords.h"
#include "corianderscale/Gateway/RetryGate.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace coriander {

/** How a run of a non-idempotent request ends for the caller who waits. */
enum class ClaimedEnd {
    /** The request has reached the state of the record. */
    Recorded,
    /** Not known now; the caller can ask again with the key. */
    Unknown,
    /** Not run, and no row of the request was written by this run. */
    Refused,
    /** Another submission holds the key; the record tells about that one. */
    Duplicate,
};

struct ClaimedResult {
    ClaimedEnd end = ClaimedEnd::Unknown;
    /** Valid for Recorded and Duplicate. */
    RequestSnapshot row;
    /** Valid for Refused and Unknown. */
    ErrorBody error;
};

/** What runs of non-idempotent requests share. */
struct ClaimedRunParts {
    GatewayHooks &hooks;
    Dispatcher &dispatcher;
    AttemptSender &sender;
    RequestRecords &records;
    RetryGate &retries;
    InstanceId gateway;
};

/** One submission of a non-idempotent request. */
struct ClaimedRequest {
    CallerKey caller;
    RequestKey key;
    ServiceName service;
    Urgency urgency = Urgency::Normal;
    std::string body;
    /** The caller is told by then, whatever is known. */
    MonotonicTime deadline;
    Duration runLimit{};
    /** Version of a row that the submission may replace, because it says `not-run`; 0 for none. */
    RowVersion replaces;
    /** Called exactly once. */
    std::function<void(const ClaimedResult &)> answer;
    /** Called exactly once, when nothing of the run is left to do; possibly long after the answer. */
    std::function<void()> ended;
};

/**
 * Runs one non-idempotent request at most once.
 *
 * Writes a claim before the first byte goes out, sends one attempt, and records how it ended. A further attempt is sent
 * only when nothing of the one before was sent or the endpoint has said that it did not start it; the claim names the
 * new attempt first. When it is not known whether the attempt ran, the endpoint is fenced and asked until it answers.
 *
 * `not-run` is recorded after a fence only when the start limit of the attempt has passed as well: an endpoint that
 * restarts forgets its fences, and only the start limit then stops a message that is still under way.
 *
 * Thread safety: the gateway's thread. Kept alive by its own pending work.
 */
class ClaimedRun : public std::enable_shared_from_this<ClaimedRun>
{
public:
    ClaimedRun(ClaimedRunParts &parts, ClaimedRequest request);

    /** Starts with a slot. */
    void start(SlotLease lease);

    /** Settles a claim whose gateway is gone. */
    void settle(const RequestRecord &record, RowVersion version);

private:
    void armDeadline();
    void writeClaim();
    void onClaim(const PutResult &result);
    void logProgress(const char *event) const;
    void send();
    void onAttempt(const AttemptResult &result);
    void retry(const std::string &code, const std::string &reason);
    void askEndpoint();
    void onStatus(const std::optional<AttemptStatus> &status);
    void onNeverStarted();
    void askLater();
    void finishWith(RequestState state, const std::string &code, const std::string &reason);
    void finishAnswered(int status, const std::string &body);
    void storeAnswer();
    void recordFinal();
    void onFinalRecorded(const PutResult &result);
    void recordLater();
    void adopt(const RequestSnapshot &row);
    void tell(ClaimedResult result);
    void tellUnknown(const std::string &reason);
    void end();
    Duration nextBackoff();

    ClaimedRunParts &m_parts;
    ClaimedRequest m_request;
    RequestRecord m_record;
    RowVersion m_version;
    SlotLease m_lease;
    std::set<EndpointId> m_tried;
    std::string m_answer;
    /** Whether a row of this run is known to be in the table. */
    bool m_claimed = false;
    bool m_told = false;
    bool m_ended = false;
    int m_retries = 0;
    int m_backoffs = 0;
    MonotonicTime m_giveUpAt;
};

} // namespace coriander
