#pragma once

#include "corianderscale/Coordination/Backoff.h"
#include "corianderscale/Coordination/CircuitBreaker.h"
#include "corianderscale/Coordination/StoreHealth.h"
#include "corianderscale/Coordination/TokenBucket.h"
#include "corianderscale/Transport/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace coriander {

/** Sends one HTTP request to the platform; HttpClient bound to an address, or a fake. */
using StoreSender = std::function<void(const HttpRequest &request, MonotonicTime deadline, HttpCompletion done)>;

/** Which budget a call is charged to. */
enum class StoreBudget {
    None,
    Read,
    Write,
};

/** Receives the platform's answer, or no value and why there is none. */
using StoreAnswer = std::function<void(std::optional<HttpResponse>, const CoordinationError &)>;

/** One call with its tries. */
struct StoreCall {
    HttpRequest request;
    StoreBudget budget = StoreBudget::None;
    MonotonicTime deadline;
    StoreAnswer done;
    int tries = 0;
    /** Whether an earlier try may have taken effect. */
    bool uncertain = false;
    /** Whether the next try has been charged to the budget. */
    bool charged = false;
};

/** Callbacks to run after the owner's lock has been released. */
using Effects = std::vector<std::function<void()>>;

/**
 * Carries calls to the platform out: budgets, tries with backoff until the deadline, circuit breaker and health.
 *
 * Thread safety: not thread safe; StoreEngine serialises access and runs the effects outside its lock.
 */
class StoreCaller
{
public:
    struct Settings {
        /** Budget of the whole site, divided by the live instances. */
        double siteWritesPerSecond = 300;
        double siteReadsPerSecond = 2000;
        /** One try waits at most this long, so that a lost answer is asked for again before the deadline. */
        Duration tryTime = std::chrono::milliseconds(1000);
        /** Calls waiting for budget or a further try; more are refused. */
        std::size_t maximumWaiting = 4096;
        BackoffSettings backoff;
        CircuitBreaker::Settings breaker;
        StoreHealth::Settings health;
    };

    /** Sends one try, outside the owner's lock; the owner reports its end by finishTry(). */
    using Launch = std::function<void(const std::shared_ptr<StoreCall> &call, MonotonicTime tryDeadline)>;

    StoreCaller(Settings settings, RandomUnit random, Launch launch, MonotonicTime now);

    /** Divides the site's budget among @p instances; at least 1. */
    void setLiveInstances(int instances, MonotonicTime now);

    /** Accepts a call; poll() sends it. */
    void add(std::shared_ptr<StoreCall> call, MonotonicTime now, Effects &effects);

    /** Sends what is due, fails what is late. */
    void poll(MonotonicTime now, Effects &effects);

    /** Takes the end of a try that began at @p sentAt. */
    void finishTry(const std::shared_ptr<StoreCall> &call,
                   MonotonicTime sentAt,
                   const std::optional<HttpResponse> &response,
                   const TransportError &error,
                   MonotonicTime now,
                   Effects &effects);

    /** Fails all waiting calls and every later one. */
    void stop(Effects &effects);

    MonotonicTime nextDue() const;
    StoreState state() const;

private:
    bool mayTry(const std::shared_ptr<StoreCall> &call, MonotonicTime now, Effects &effects);
    void judge(Duration took,
               const std::optional<HttpResponse> &response,
               const TransportError &error,
               MonotonicTime now);
    void attempt(const std::shared_ptr<StoreCall> &call, MonotonicTime now, Effects &effects);
    void retry(const std::shared_ptr<StoreCall> &call, Duration least, MonotonicTime now, Effects &effects);
    static void fail(const std::shared_ptr<StoreCall> &call,
                     CoordinationCode code,
                     const std::string &reason,
                     Effects &effects);
    TokenBucket *bucketOf(StoreBudget budget);

    Settings m_settings;
    RandomUnit m_random;
    Launch m_launch;
    TokenBucket m_writes;
    TokenBucket m_reads;
    CircuitBreaker m_breaker;
    StoreHealth m_health;
    std::multimap<MonotonicTime, std::shared_ptr<StoreCall>> m_waiting;
    bool m_stopped = false;
};

} // namespace coriander
