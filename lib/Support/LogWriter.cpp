#include "corianderscale/Support/LogWriter.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <chrono>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace coriander {

namespace {

/** Limit on the lines that wait to be written; about 1 MiB at typical line lengths. */
constexpr std::size_t MaximumQueuedLines = 4096;
/** Delay before queued lines are written, so that one write carries several lines. */
constexpr auto BatchDelay = std::chrono::milliseconds(50);
/** Lines are dropped when standard output does not accept data for this long. */
constexpr int WriteTimeoutMs = 500;

/** Writes all of @p text. Returns false on an error, or when the output accepts no data for the time limit. */
bool writeAll(const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, WriteTimeoutMs) <= 0) {
            return false;
        }
        // A larger write could block: poll() reports a pipe as writable as soon as it has room for PIPE_BUF bytes.
        const std::size_t chunkBytes = std::min<std::size_t>(text.size() - written, PIPE_BUF);
        const ssize_t count = ::write(STDOUT_FILENO, text.data() + written, chunkBytes);
        if (count <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

LogWriter::LogWriter()
    : m_thread([this] { run(); })
{
    setLogSink([this](std::string line) { add(std::move(line)); });
}

LogWriter::~LogWriter()
{
    setLogSink({});
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

std::size_t LogWriter::droppedLines() const
{
    return m_droppedLines;
}

void LogWriter::add(std::string line)
{
    bool wake = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_lines.size() >= MaximumQueuedLines) {
            ++m_unreportedDroppedLines;
            ++m_droppedLines;
            return;
        }
        wake = m_lines.empty();
        m_lines.push_back(std::move(line));
    }
    if (wake) {
        m_wake.notify_one();
    }
}

void LogWriter::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
        if (!m_stopping) {
            m_wake.wait_for(lock, BatchDelay, [this] { return m_stopping; });
        }
        std::deque<std::string> lines = std::move(m_lines);
        m_lines.clear();
        if (m_unreportedDroppedLines > 0) {
            lines.push_back("event=log-lines-left-out count=" + std::to_string(m_unreportedDroppedLines) + "\n");
            m_unreportedDroppedLines = 0;
        }
        const bool stopping = m_stopping;
        lock.unlock();
        writeOut(lines);
        lock.lock();
        if (stopping && m_lines.empty()) {
            return;
        }
    }
}

void LogWriter::writeOut(const std::deque<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line;
    }
    if (!writeAll(text)) {
        m_droppedLines += lines.size();
    }
}

} // namespace coriander
