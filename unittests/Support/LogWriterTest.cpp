#include "corianderscale/Support/LogWriter.h"

#include "corianderscale/Support/Log.h"

#include <gtest/gtest.h>

#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace coriander {
namespace {

/** Redirects standard output to a pipe during a test. */
class PipedOutput
{
public:
    PipedOutput()
        : m_saved(::dup(STDOUT_FILENO))
    {
        EXPECT_EQ(::pipe(m_ends), 0);
        ::dup2(m_ends[1], STDOUT_FILENO);
    }

    ~PipedOutput()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    std::string readAll()
    {
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[4096];
        for (ssize_t count = ::read(m_ends[0], buffer, sizeof(buffer)); count > 0;
             count = ::read(m_ends[0], buffer, sizeof(buffer))) {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    int m_saved;
    int m_ends[2] = {-1, -1};
};

// Guards against queued lines being lost when the process exits.
TEST(LogWriter, writesQueuedLinesOnDestruction)
{
    PipedOutput output;
    {
        LogWriter writer;
        logEvent(LogLevel::Info, "first", {{"job", "j1"}});
        logEvent(LogLevel::Info, "second");
    }
    const std::string text = output.readAll();
    EXPECT_NE(text.find("event=first job=j1"), std::string::npos);
    EXPECT_NE(text.find("event=second"), std::string::npos);
}

// Guards against a blocked standard output blocking the threads that log, or letting the queue grow without limit.
TEST(LogWriter, blockedOutputDoesNotBlockLogging)
{
    PipedOutput output;
    LogWriter writer;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 50000; ++i) {
        logEvent(LogLevel::Info, "flood", {{"number", i}, {"text", "some more text that fills the pipe"}});
    }
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(5));
    EXPECT_GT(writer.droppedLines(), 0U);
}

} // namespace
} // namespace coriander
