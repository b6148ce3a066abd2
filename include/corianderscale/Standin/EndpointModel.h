#pragma once

#include "corianderscale/Protocol/EndpointMessages.h"
#include "corianderscale/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** Identity, services and limits of an endpoint stand-in, which simulates an endpoint. */
struct EndpointModelSettings {
    EndpointId id;
    /** Changes with each start of the endpoint. */
    InstanceId incarnation;
    DataCentreId dataCentre;
    std::vector<ServiceName> services;
    /** Attempts that may run at the same time. */
    std::int64_t slots = 8;
    /** How long one attempt runs. */
    Duration workTime = std::chrono::milliseconds(10);
    /** Number of finished attempts whose answers are kept. Older answers are cleared, but their attempts stay known. */
    std::size_t maximumKeptAnswers = 10'000;
};

/** One request to run an attempt. */
struct EndpointRunRequest {
    AttemptId attempt;
    ServiceName service;
    /** An attempt that arrives after this time, in Unix milliseconds, is refused; 0 for no limit. */
    std::int64_t startByUnixMs = 0;
    std::string body;
};

/** An attempt that has ended. */
struct FinishedAttempt {
    AttemptId attempt;
    ServiceName service;
    std::string bodyDigest;
    std::string answer;
};

/**
 * Model of an endpoint without threads, sockets or clocks: slots, latest start times, attempt status, fences and
 * draining.
 *
 * Thread safety: not thread safe; the caller serialises access.
 */
class EndpointModel
{
public:
    explicit EndpointModel(EndpointModelSettings settings);

    /** Starts an attempt, or returns the reason for refusing it. */
    std::optional<EndpointRefusal> run(const EndpointRunRequest &request, MonotonicTime now, WallTime wallNow);

    /** Ends all attempts whose work time has passed and returns them, ordered by end time. */
    std::vector<FinishedAttempt> finish(MonotonicTime now);

    /** Time at which the next attempt ends; NeverDue when none runs. */
    MonotonicTime nextEndTime() const;

    AttemptStatus status(const AttemptId &attempt) const;

    /** Fences the attempt: it will never be started. Has no effect when the attempt has already started. */
    AttemptStatus fence(const AttemptId &attempt);

    /** Refuses all new attempts from now on. */
    void leave();

    /** Whether the endpoint is leaving and no attempt runs. */
    bool isDrained() const;

    /** Current state of the endpoint. The model has no sockets, so the server passes the @p connections to report. */
    EndpointInfo info(std::int64_t connections) const;

    /** Answer to an attempt: the service, and the digest by which callers recognise the body of their request. */
    static std::string makeAnswer(const ServiceName &service, const std::string &bodyDigest);

private:
    enum class Phase {
        Running,
        Done,
        Fenced,
    };
    struct Attempt {
        Phase phase = Phase::Running;
        ServiceName service;
        std::string bodyDigest;
        std::string answer;
        std::string answerDigest;
    };

    std::optional<EndpointRefusal> checkRun(const EndpointRunRequest &request, WallTime wallNow) const;
    void clearOldAnswers();

    EndpointModelSettings m_settings;
    bool m_leaving = false;
    std::map<AttemptId, Attempt> m_attempts;
    std::multimap<MonotonicTime, AttemptId> m_running;
    std::vector<AttemptId> m_finished;
    std::size_t m_clearedAnswers = 0;
};

} // namespace coriander
