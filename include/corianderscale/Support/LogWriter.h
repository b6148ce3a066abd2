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
 * Writes log lines to standard output on a thread of its own. During its lifetime logEvent() passes all lines to it. A
 * blocked output does not block the logging threads: lines beyond the queue limit are dropped, and a log line reports
 * their number.
 *
 * Thread safety: construct and destroy on one thread, while no other thread logs.
 */
class LogWriter
{
public:
    LogWriter();
    /** Writes the queued lines; gives up when standard output accepts no data for 500 ms. */
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /** Number of lines dropped so far. */
    std::size_t droppedLines() const;

private:
    void add(std::string line);
    void run();
    void writeOut(const std::deque<std::string> &lines);

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::size_t m_unreportedDroppedLines = 0;
    std::atomic<std::size_t> m_droppedLines = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace coriander
