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

/** Sends one HTTP request to the platform: an HttpClient bound to an address, or a fake in tests. */
using StoreSender = std::function<void(const HttpRequest &request, MonotonicTime deadline, HttpCompletion done)>;

/** The rate budget that a call is charged to. */
enum class StoreBudget {
    None,
    Read,
    Write,
};

/** Receives the platform's response, or no value and the error. */
using StoreAnswer = std::function<void(std::optional<HttpResponse>, const CoordinationError &)>;

/** One call to the platform, which may be tried several times. */
struct StoreCall {
    HttpRequest request;
    StoreBudget budget = StoreBudget::None;
    MonotonicTime deadline;
    StoreAnswer done;
    int tries = 0;
    /** Whether an earlier try may have taken effect. */
    bool mayHaveTakenEffect = false;
    /** Whether the next try has been charged to the budget. */
    bool isCharged = false;
};

/** Callbacks to run after the owner's lock has been released. */
using DeferredCallbacks = std::vector<std::function<void()>>;

/**
 * Carries out calls to the platform. Enforces the rate budgets, retries with backoff until the deadline, stops calls
 * by a circuit breaker, and tracks the health of the store.
 *
 * Thread safety: not thread safe; StoreEngine serialises access and runs the callbacks outside its lock.
 */
class StoreCaller
{
public:
    struct Settings {
        /** Budgets of the whole site; each live instance gets an equal share. */
        double siteWritesPerSecond = 300;
        double siteReadsPerSecond = 2000;
        /** Timeout of one try, so that a call whose answer was lost is retried before its deadline. */
        Duration tryTimeout = std::chrono::milliseconds(1000);
        /** Maximum number of calls that wait for budget or for a retry; further calls are refused. */
        std::size_t maximumWaitingCalls = 4096;
        BackoffSettings backoff;
        CircuitBreaker::Settings breaker;
        StoreHealth::Settings health;
    };

    /** Sends one try, outside the owner's lock. The owner calls finishTry() when the try has ended. */
    using SendTry = std::function<void(const std::shared_ptr<StoreCall> &call, MonotonicTime tryDeadline)>;

    StoreCaller(Settings settings, RandomUnit random, SendTry sendTry, MonotonicTime now);

    /** Sets the number of live instances that share the site's budgets; values below 1 count as 1. */
    void setLiveInstances(int instances, MonotonicTime now);

    /** Accepts a call: sends it, queues it until budget is available, or fails it. */
    void add(std::shared_ptr<StoreCall> call, MonotonicTime now, DeferredCallbacks &callbacks);

    /** Sends the waiting calls that are due, and fails those past their deadlines. */
    void poll(MonotonicTime now, DeferredCallbacks &callbacks);

    /** Processes the result of a try that was sent at @p sentAt. */
    void finishTry(const std::shared_ptr<StoreCall> &call,
                   MonotonicTime sentAt,
                   const std::optional<HttpResponse> &response,
                   const TransportError &error,
                   MonotonicTime now,
                   DeferredCallbacks &callbacks);

    /** Fails all waiting calls and all later ones. */
    void stop(DeferredCallbacks &callbacks);

    MonotonicTime nextDue() const;
    StoreState state() const;

private:
    bool admitTry(const std::shared_ptr<StoreCall> &call, MonotonicTime now, DeferredCallbacks &callbacks);
    void recordOutcome(Duration latency,
                       const std::optional<HttpResponse> &response,
                       const TransportError &error,
                       MonotonicTime now);
    void startTry(const std::shared_ptr<StoreCall> &call, MonotonicTime now, DeferredCallbacks &callbacks);
    void scheduleRetry(const std::shared_ptr<StoreCall> &call,
                       Duration minimumDelay,
                       MonotonicTime now,
                       DeferredCallbacks &callbacks);
    static void fail(const std::shared_ptr<StoreCall> &call,
                     CoordinationCode code,
                     const std::string &reason,
                     DeferredCallbacks &callbacks);
    TokenBucket *bucketOf(StoreBudget budget);

    Settings m_settings;
    RandomUnit m_random;
    SendTry m_sendTry;
    TokenBucket m_writes;
    TokenBucket m_reads;
    CircuitBreaker m_breaker;
    StoreHealth m_health;
    std::multimap<MonotonicTime, std::shared_ptr<StoreCall>> m_waiting;
    bool m_stopped = false;
};

} // namespace coriander
