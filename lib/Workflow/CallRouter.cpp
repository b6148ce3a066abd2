#include "corianderscale/Workflow/CallRouter.h"

#include "corianderscale/Decision/CallerReturn.h"
#include "corianderscale/Decision/NeighbourChoice.h"
#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <utility>

namespace coriander::workflow {

namespace {

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Whether another instance may be able to serve the call. */
bool isServed(const CallAnswer &answer)
{
    return answer.outcome != CallOutcome::Refused && answer.outcome != CallOutcome::Unclear;
}

/** Whether an answer says that the call did not take effect. */
bool isRejection(const CallAnswer &answer)
{
    switch (answer.outcome) {
    case CallOutcome::Refused:
    case CallOutcome::Unauthorized:
    case CallOutcome::NoSuchQueue:
    case CallOutcome::NoSuchJob:
    case CallOutcome::Invalid:
        return true;
    case CallOutcome::Done:
    case CallOutcome::Unclear:
        return false;
    }
    return false;
}

} // namespace

/** A call on its way to an instance that can serve it. */
struct CallRouter::Routing {
    CallerCall call;
    MonotonicTime deadline;
    CallDone done;
    /** Neighbours that are still to be asked, the next one last. */
    std::vector<Neighbour> neighbours;
    bool neighboursChosen = false;
    /** Whether the call may have taken effect somewhere. */
    bool unclear = false;
    /** Whether the present attempt to serve the call here has all the time that is left, so that none follows. */
    bool isLastAttempt = false;
    std::string reason;

    /** Records that an instance did not answer, or does not know the outcome. Only writes have an effect. */
    void noteUnclear()
    {
        unclear = unclear || call.method != "GET";
    }

    /** Passes the answer to the caller. A write that may have taken effect elsewhere, even later, was not rejected. */
    void finish(CallAnswer answer) const
    {
        if (unclear && isRejection(answer)) {
            answer.outcome = CallOutcome::Unclear;
        }
        done(answer);
    }
};

CallRouter::CallRouter(Settings settings, Clock clock, const StoreWatch &store, DataCentreId dataCentre, Hooks hooks)
    : m_settings(settings)
    , m_clock(std::move(clock))
    , m_store(store)
    , m_dataCentre(std::move(dataCentre))
    , m_hooks(std::move(hooks))
{
}

const RoutingCounts &CallRouter::counts() const
{
    return m_counts;
}

bool CallRouter::isConfigurationOutdated() const
{
    const ConfigurationVersion own = m_hooks.configuration();
    return own == ConfigurationVersion() || own < m_newestSeen;
}

void CallRouter::route(const CallerCall &call, CallDone done)
{
    const MonotonicTime now = m_clock.now();
    const auto routing = std::make_shared<Routing>();
    routing->call = call;
    routing->deadline = now + call.timeLimit;
    routing->done = std::move(done);
    const StoreReach reach = m_store.reach();
    if (reach == StoreReach::Unreachable || isConfigurationOutdated()) {
        routing->reason = reach == StoreReach::Unreachable ? "the store is unreachable" : "no current configuration";
        askNext(routing);
        return;
    }
    const bool patient = reach == StoreReach::Slow || m_hooks.neighbours().empty();
    serveHere(routing, patient ? routing->deadline : std::min(routing->deadline, now + m_settings.localTimeout));
}

void CallRouter::serveHere(const std::shared_ptr<Routing> &routing, MonotonicTime deadline)
{
    routing->isLastAttempt = deadline >= routing->deadline;
    m_hooks.serve(routing->call, deadline, [this, routing](const CallAnswer &answer) {
        if (isServed(answer) || routing->isLastAttempt) {
            routing->finish(answer);
            return;
        }
        if (answer.outcome == CallOutcome::Unclear) {
            routing->noteUnclear();
        }
        routing->reason = answer.reason;
        askNext(routing);
    });
}

std::vector<Neighbour> CallRouter::neighboursToAsk(std::size_t most)
{
    const MonotonicTime now = m_clock.now();
    const std::vector<Neighbour> all = m_hooks.neighbours();
    std::vector<decision::NeighbourView> views;
    for (const Neighbour &neighbour : all) {
        decision::NeighbourView view;
        view.sameDataCentre = neighbour.dataCentre == m_dataCentre;
        const auto failed = m_failedAt.find(neighbour.address);
        if (failed != m_failedAt.end()) {
            view.sinceFailure = now - failed->second;
        }
        views.push_back(view);
    }
    std::vector<Neighbour> chosen;
    for (const std::size_t index : decision::chooseNeighbours(views, ++m_seed, most)) {
        chosen.push_back(all[index]);
    }
    return chosen;
}

void CallRouter::noteFailure(const Neighbour &neighbour)
{
    m_failedAt[neighbour.address] = m_clock.now();
}

void CallRouter::askNext(const std::shared_ptr<Routing> &routing)
{
    if (!routing->neighboursChosen) {
        routing->neighboursChosen = true;
        routing->neighbours = neighboursToAsk(m_settings.neighboursPerCall);
        std::reverse(routing->neighbours.begin(), routing->neighbours.end());
    }
    const Duration left = routing->deadline - m_clock.now();
    if (routing->neighbours.empty() || left < m_settings.minimumRelayTime) {
        finishUnserved(routing);
        return;
    }
    const Neighbour neighbour = routing->neighbours.back();
    routing->neighbours.pop_back();
    ++m_counts.relayed;
    const ConfigurationVersion atLeast = std::max(m_newestSeen, m_hooks.configuration());
    m_hooks.relay(
        neighbour.address,
        routing->call,
        atLeast,
        std::min(left, m_settings.relayTimeout),
        [this, routing, neighbour](const RelayResult &result) { neighbourAnswered(routing, neighbour, result); });
}

void CallRouter::neighbourAnswered(const std::shared_ptr<Routing> &routing,
                                   const Neighbour &neighbour,
                                   const RelayResult &result)
{
    const bool served = result.answer && isServed(result.answer->answer);
    logEvent(LogLevel::Info,
             "call-relayed",
             {{"path", routing->call.path},
              {"neighbour", neighbour.instance},
              {"served", served},
              {"configuration", result.answer ? result.answer->configuration : ConfigurationVersion()},
              {"left_ms", milliseconds(routing->deadline - m_clock.now())},
              {"reason", result.answer ? result.answer->answer.reason : result.reason},
              {"because", routing->reason}});
    if (served) {
        m_failedAt.erase(neighbour.address);
        m_newestSeen = std::max(m_newestSeen, result.answer->configuration);
        ++m_counts.relayedServed;
        routing->finish(result.answer->answer);
        return;
    }
    noteFailure(neighbour);
    const bool mayHaveTakenEffect = result.answer ? result.answer->answer.outcome == CallOutcome::Unclear : result.sent;
    if (mayHaveTakenEffect) {
        routing->noteUnclear();
    }
    askNext(routing);
}

void CallRouter::finishUnserved(const std::shared_ptr<Routing> &routing)
{
    const MonotonicTime now = m_clock.now();
    const std::optional<MonotonicTime> unreachableSince = m_store.unreachableSince();
    if (!unreachableSince && !isConfigurationOutdated() && now < routing->deadline) {
        serveHere(routing, routing->deadline);
        return;
    }
    const Duration outage = unreachableSince ? now - *unreachableSince : Duration(0);
    ++m_counts.refusedWithoutStore;
    CallAnswer answer;
    answer.outcome = CallOutcome::Refused;
    answer.reason = routing->reason;
    answer.retryAfter = decision::callerReturnAfter({routing->deadline - now, outage});
    logEvent(LogLevel::Info,
             "call-unserved",
             {{"path", routing->call.path},
              {"unclear", routing->unclear},
              {"outage_ms", milliseconds(outage)},
              {"left_ms", milliseconds(routing->deadline - now)},
              {"retry_after_ms", milliseconds(answer.retryAfter)}});
    routing->finish(answer);
}

void CallRouter::serveForNeighbour(const CallerCall &call,
                                   ConfigurationVersion atLeast,
                                   const std::function<void(const RoutedAnswer &)> &done)
{
    const auto decline = [this, &done](const char *reason) {
        done({{CallOutcome::Refused, reason, std::chrono::seconds(1), {}, {}}, m_hooks.configuration()});
    };
    if (m_store.reach() == StoreReach::Unreachable) {
        decline("the store is unreachable here too");
        return;
    }
    if (m_hooks.configuration() < atLeast || isConfigurationOutdated()) {
        decline("the configuration here is older");
        return;
    }
    ++m_counts.servedForNeighbours;
    m_hooks.serve(call, m_clock.now() + call.timeLimit, [this, done](const CallAnswer &answer) {
        done({answer, m_hooks.configuration()});
    });
}

} // namespace coriander::workflow
