#pragma once

#include "corianderscale/Gateway/AttemptSender.h"
#include "corianderscale/Gateway/RequestRecords.h"
#include "corianderscale/Gateway/RetryBudgetHooks.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace coriander {

/** Result of a run of a non-idempotent request for the waiting caller. */
enum class ClaimedEnd {
    /** The request has the state in the record; the record may not be stored yet. */
    Recorded,
    /** The outcome is not known yet; the caller can query it again by the key. */
    Unknown,
    /** The request was not run, and this run wrote no row for it. */
    Refused,
    /** Another submission holds the key; the record belongs to that submission. */
    Duplicate,
};

struct ClaimedResult {
    ClaimedEnd end = ClaimedEnd::Unknown;
    /** Valid for Recorded and Duplicate. */
    RequestSnapshot row;
    /** Valid for Refused and Unknown. */
    ErrorBody error;
};

/** Dependencies shared by all runs of non-idempotent requests. */
struct ClaimedRunParts {
    GatewayHooks &hooks;
    Dispatcher &dispatcher;
    AttemptSender &sender;
    RequestRecords &records;
    RetryBudgetHooks &retryBudget;
    InstanceId gateway;
};

/** One submission of a non-idempotent request. */
struct ClaimedRequest {
    CallerKey caller;
    RequestKey key;
    ServiceName service;
    Urgency urgency = Urgency::Normal;
    std::string body;
    /** The caller is answered by this time, even when the outcome is still unknown. */
    MonotonicTime deadline;
    Duration runLimit{};
    /** Version of an existing `not-run` row that this submission may replace; 0 for none. */
    RowVersion replacedVersion;
    /** Called exactly once. */
    std::function<void(const ClaimedResult &)> onAnswer;
    /** Called exactly once, when the run has no work left; this may be long after the answer. */
    std::function<void()> onEnded;
};

/**
 * Runs one non-idempotent request at most once.
 *
 * Writes a claim before anything is sent, sends one attempt, and records its result. Another attempt is sent only when
 * nothing of the previous one was sent, or when the endpoint stated that it did not start it; before that, the claim is
 * updated to name the new attempt. When it is unknown whether the attempt ran, the run fences it at the endpoint and
 * repeats the fence until the endpoint answers.
 *
 * After a fence, `not-run` is recorded only once the start limit of the attempt has passed as well: an endpoint that
 * restarts loses its fences, and then only the start limit prevents a delayed message from being started.
 *
 * Thread safety: the gateway's thread. Kept alive by its own pending work.
 */
class ClaimedRun : public std::enable_shared_from_this<ClaimedRun>
{
public:
    ClaimedRun(ClaimedRunParts &parts, ClaimedRequest request);

    /** Starts the run with a slot. */
    void start(SlotLease lease);

    /** Settles a claim whose gateway no longer works on it. */
    void settle(const RequestRecord &record, RowVersion version);

private:
    void scheduleDeadline();
    void writeClaim();
    void onClaim(const PutResult &result);
    void logProgress(const char *event) const;
    void send();
    void onAttempt(const AttemptResult &result);
    void retry(const std::string &code, const std::string &reason);
    /** Forbids the endpoint to start the attempt and asks for the attempt's status. */
    void fenceAndQueryAttempt();
    void onStatus(const std::optional<AttemptStatus> &status);
    /** Records `not-run` once the start limit has passed; until then a restarted endpoint might start the attempt. */
    void recordNotRunAfterStartWindow();
    void scheduleFence();
    void finishWithoutAnswer(RequestState state, const std::string &code, const std::string &reason);
    void finishWithAnswer(int status, const std::string &body);
    void storeAnswer();
    void recordFinal();
    void onFinalRecorded(const PutResult &result);
    void scheduleRecordFinal();
    void respondAfterConflict(const RequestSnapshot &row);
    void respond(ClaimedResult result);
    void respondUnknown(const std::string &reason);
    void end();
    Duration nextBackoff();

    ClaimedRunParts &m_parts;
    ClaimedRequest m_request;
    RequestRecord m_record;
    RowVersion m_version;
    SlotLease m_lease;
    std::set<EndpointId> m_triedEndpoints;
    std::string m_answer;
    /** Whether the table is known to contain a row of this run. */
    bool m_claimed = false;
    bool m_responded = false;
    bool m_ended = false;
    int m_retryCount = 0;
    int m_backoffCount = 0;
    MonotonicTime m_abandonAt;
};

} // namespace coriander
