#pragma once

#include "corianderscale/Protocol/EndpointMessages.h"
#include "corianderscale/Support/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** What an endpoint stand-in is. */
struct EndpointModelSettings {
    EndpointId id;
    InstanceId incarnation;
    DataCentreId dataCentre;
    std::vector<ServiceName> services;
    std::int64_t slots = 8;
    /** How long one attempt runs. */
    Duration workTime = std::chrono::milliseconds(10);
    /** Answers that are kept; older ones are dropped, but their attempts are never forgotten. */
    std::size_t maximumAnswers = 10'000;
};

/** One request to run an attempt. */
struct EndpointRun {
    AttemptId attempt;
    ServiceName service;
    /** The attempt is refused when it arrives later; 0 for no limit. */
    std::int64_t startByUnixMs = 0;
    std::string body;
};

/** An attempt that has ended. */
struct EndpointFinished {
    AttemptId attempt;
    ServiceName service;
    std::string bodyDigest;
    std::string answer;
};

/**
 * Model of an endpoint without threads, sockets or clocks: slots, start limits, kept attempts, fences and leaving.
 *
 * Thread safety: not thread safe; the owner serialises access.
 */
class EndpointModel
{
public:
    explicit EndpointModel(EndpointModelSettings settings);

    /** Starts an attempt, or returns why it is refused. */
    std::optional<EndpointRefusal> run(const EndpointRun &request, MonotonicTime now, WallTime wallNow);

    /** Ends all attempts whose work time has passed and returns them in the order of their ends. */
    std::vector<EndpointFinished> finish(MonotonicTime now);

    /** When the next attempt ends; NeverDue when none runs. */
    MonotonicTime nextEnd() const;

    AttemptStatus status(const AttemptId &attempt) const;

    /** Promises never to start the attempt, unless it has started already. */
    AttemptStatus fence(const AttemptId &attempt);

    /** Refuses all new attempts from now on. */
    void leave();

    /** Whether the endpoint is leaving and no attempt runs. */
    bool drained() const;

    EndpointInfo info(std::int64_t connections) const;

    /** The answer of the stand-in's work: it names the digest of the body, so that callers can check it. */
    static std::string answerTo(const ServiceName &service, const std::string &bodyDigest);

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

    std::optional<EndpointRefusal> refusalOf(const EndpointRun &request, WallTime wallNow) const;
    void dropOldAnswers();

    EndpointModelSettings m_settings;
    bool m_leaving = false;
    std::map<AttemptId, Attempt> m_attempts;
    std::multimap<MonotonicTime, AttemptId> m_running;
    std::vector<AttemptId> m_done;
    std::size_t m_dropped = 0;
};

} // namespace coriander
