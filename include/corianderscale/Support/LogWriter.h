#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace coriander {

/**
 * While it lives, logEvent() hands its lines to a thread that writes them to standard output. A reader that stops
 * reading delays no one: lines beyond the bound are left out and counted in a line of their own.
 *
 * Thread safety: construct and destroy on one thread, with no other thread logging meanwhile.
 */
class LogWriter
{
public:
    LogWriter();
    /** Writes what is left, but waits no longer than a moment for a reader that does not read. */
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /** Lines that were left out so far. */
    std::size_t leftOut() const;

private:
    void add(std::string line);
    void run();
    void writeOut(const std::deque<std::string> &lines);

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::size_t m_leftOutSince = 0;
    std::atomic<std::size_t> m_leftOut = 0;
    bool m_ending = false;
    std::thread m_thread;
};

} // namespace coriander
