#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Transport/HttpClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace coriander {

/**
 * Clock, timers, network and random numbers of the gateway. All parts of the gateway run on one thread, the gateway's
 * thread; results that arrive on other threads are passed to it with @c post. Tests replace every hook.
 */
struct GatewayHooks {
    Clock clock;
    /** Queues a task for the gateway's thread; never runs it inside the call. Thread safety: any thread. */
    std::function<void(std::function<void()>)> post;
    /** Runs a task on the gateway's thread at or after a time. */
    std::function<void(MonotonicTime, std::function<void()>)> at;
    /** Sends an HTTP request to an endpoint; completes on any thread. */
    std::function<void(const std::string &, const HttpRequest &, MonotonicTime, HttpCompletion)> send;
    /** Returns the given number of random bytes as hexadecimal digits; values must not repeat. */
    std::function<std::string(std::size_t)> randomHex;
    /** Returns uniform 64-bit random numbers. */
    std::function<std::uint64_t()> random;
};

/**
 * Tasks ordered by due time.
 *
 * Thread safety: not thread safe.
 */
class TimerQueue
{
public:
    void add(MonotonicTime due, std::function<void()> task)
    {
        m_tasks.emplace(due, std::move(task));
    }

    /** Due time of the next task; NeverDue when there is none. */
    MonotonicTime next() const
    {
        return m_tasks.empty() ? NeverDue : m_tasks.begin()->first;
    }

    /** Runs the tasks that are due; tasks added meanwhile run with the next call. */
    void run(MonotonicTime now)
    {
        std::multimap<MonotonicTime, std::function<void()>> due;
        while (!m_tasks.empty() && m_tasks.begin()->first <= now) {
            due.insert(m_tasks.extract(m_tasks.begin()));
        }
        for (auto &[time, task] : due) {
            task();
        }
    }

    std::size_t size() const
    {
        return m_tasks.size();
    }

private:
    std::multimap<MonotonicTime, std::function<void()>> m_tasks;
};

} // namespace coriander
