#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace coriander {

/**
 * A thread that calls a step function repeatedly until it is stopped. Each step must return within a bounded time.
 *
 * Thread safety: stop() may be called from any one thread, but not from the step function.
 */
class DutyThread
{
public:
    /** Starts the thread. @p name appears in process listings and is cut to 15 characters. */
    DutyThread(std::string name, std::function<void()> step);
    /** Calls stop(). */
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    /** Ends the thread after its current step and joins it. */
    void stop();

private:
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace coriander
