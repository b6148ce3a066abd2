#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace coriander {

/**
 * A thread with one duty: it runs a step again and again until stopped. Each step must return within a bounded time.
 *
 * Thread safety: stop() from any one thread, not from the duty itself.
 */
class DutyThread
{
public:
    /** Starts the thread. @p name is visible in process listings; at most 15 characters count. */
    DutyThread(std::string name, std::function<void()> step);
    /** Stops and joins. */
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    /** Asks the thread to end after its present step and waits for it. */
    void stop();

private:
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace coriander
