#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>

namespace coriander::soak {

/** A free port of 127.0.0.1 below the range of outgoing connections. */
unsigned short freePort();

/** One coriander-node as a process of its own; its log goes to a file. Thread safety: none. */
class NodeProcess
{
public:
    /** @p store is the address of the store as this node sees it. */
    NodeProcess(std::filesystem::path directory, std::string name, const std::string &store);
    /** Kills the process. */
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    /** Sends a signal to the process when it runs. */
    void signal(int number);
    /** Takes note of an exit; returns whether the process runs. */
    bool running();
    /** Exit status or signal of the last exit, as waitpid() tells it. */
    std::optional<int> lastStatus() const;

    const std::string &name() const;
    unsigned short callerPort() const;
    unsigned short readinessPort() const;

private:
    std::filesystem::path m_directory;
    std::string m_name;
    unsigned short m_callerPort;
    unsigned short m_readinessPort;
    std::optional<pid_t> m_pid;
    std::optional<int> m_lastStatus;
};

} // namespace coriander::soak
