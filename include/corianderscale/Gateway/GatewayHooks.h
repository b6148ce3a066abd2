#pragma once

#include "corianderscale/Support/Time.h"
#include "corianderscale/Transport/HttpClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace coriander {

/**
 * How the parts of the gateway reach the world. All of them run on one thread, the gateway's; answers from outside come
 * back to it through @c post. Tests replace every hook.
 */
struct GatewayHooks {
    Clock clock;
    /** Runs a task on the gateway's thread, later. Thread safety: any thread. */
    std::function<void(std::function<void()>)> post;
    /** Runs a task on the gateway's thread at or after a time. */
    std::function<void(MonotonicTime, std::function<void()>)> at;
    /** Sends an HTTP request to an endpoint; completes on any thread. */
    std::function<void(const std::string &, const HttpRequest &, MonotonicTime, HttpCompletion)> send;
    /** Random bytes as hexadecimal digits; must not repeat. */
    std::function<std::string(std::size_t)> randomHex;
    /** Uniform random numbers. */
    std::function<std::uint64_t()> random;
};

/**
 * Tasks by the time they are due.
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

    /** When the next task is due; NeverDue when there is none. */
    MonotonicTime next() const
    {
        return m_tasks.empty() ? NeverDue : m_tasks.begin()->first;
    }

    /** Runs the tasks that are due, not those that they add. */
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
