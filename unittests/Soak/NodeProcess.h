#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>

namespace coriander::soak {

/** Returns a free port of 127.0.0.1 below the range of ports for outgoing connections. */
unsigned short findFreePort();

/** A coriander-node child process whose output goes to a log file. Thread safety: not thread safe. */
class NodeProcess
{
public:
    /** Writes the settings file. @p store is the address at which this node reaches the store. @p furtherSettings are
     * lines that are appended to the file. */
    NodeProcess(std::filesystem::path directory,
                std::string name,
                const std::string &store,
                const std::string &furtherSettings = "");
    /** Kills the process. */
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    /** Sends a signal to the process if it is running. */
    void signal(int number);
    /** Returns whether the process is running. Reaps it and stores its wait status if it has ended. */
    bool isRunning();
    /** Wait status of the last process that ended, as reported by waitpid(). */
    std::optional<int> lastWaitStatus() const;

    const std::string &name() const;
    unsigned short callerPort() const;
    unsigned short readinessPort() const;
    /** Id of the process; no value if it was not started or has ended. */
    std::optional<pid_t> pid() const;

private:
    std::filesystem::path m_directory;
    std::string m_name;
    unsigned short m_callerPort;
    unsigned short m_readinessPort;
    std::optional<pid_t> m_pid;
    std::optional<int> m_lastWaitStatus;
};

} // namespace coriander::soak
