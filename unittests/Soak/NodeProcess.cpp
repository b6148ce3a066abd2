#include "Soak/NodeProcess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char **environ;

namespace coriander::soak {

unsigned short findFreePort()
{
    using Tcp = boost::asio::ip::tcp;
    constexpr unsigned short FirstPort = 10000;
    constexpr unsigned short PortCount = 8000;
    static unsigned short port = static_cast<unsigned short>(FirstPort + getpid() * 37 % PortCount);
    boost::asio::io_context loop;
    for (int attempt = 0; attempt < PortCount; ++attempt) {
        port = port + 1 < FirstPort + PortCount ? static_cast<unsigned short>(port + 1) : FirstPort;
        Tcp::acceptor acceptor(loop, Tcp::v4());
        boost::system::error_code code;
        acceptor.bind(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), code);
        if (!code) {
            return port;
        }
    }
    throw std::runtime_error("no free port on 127.0.0.1");
}

NodeProcess::NodeProcess(std::filesystem::path directory,
                         std::string name,
                         const std::string &store,
                         const std::string &furtherSettings)
    : m_directory(std::move(directory))
    , m_name(std::move(name))
    , m_callerPort(findFreePort())
    , m_readinessPort(findFreePort())
{
    std::ofstream settings(m_directory / (m_name + ".yaml"));
    settings << "instance: " << m_name << "\ndata_centre: dc\ncaller_listen: 127.0.0.1:" << m_callerPort
             << "\nreadiness_listen: 127.0.0.1:" << m_readinessPort << "\nrelay_listen: 127.0.0.1:" << findFreePort()
             << "\nstore: " << store << "\nprocessor_share: 0.5\nlongest_lease_ms: 10000\ngrace_s: 6\n"
             << furtherSettings;
}

NodeProcess::~NodeProcess()
{
    if (m_pid) {
        kill(*m_pid, SIGKILL);
        waitpid(*m_pid, nullptr, 0);
    }
}

void NodeProcess::start()
{
    const std::string log = m_directory / (m_name + ".log");
    const std::string settings = m_directory / (m_name + ".yaml");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = CORIANDER_NODE;
    std::string option = "--settings";
    std::string value = settings;
    char *arguments[] = {program.data(), option.data(), value.data(), nullptr};
    pid_t pid = 0;
    const int result = posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start " + program);
    }
    m_pid = pid;
}

void NodeProcess::signal(int number)
{
    if (isRunning()) {
        kill(*m_pid, number);
    }
}

bool NodeProcess::isRunning()
{
    if (!m_pid) {
        return false;
    }
    int status = 0;
    if (waitpid(*m_pid, &status, WNOHANG) == *m_pid) {
        m_lastWaitStatus = status;
        m_pid.reset();
        return false;
    }
    return true;
}

std::optional<int> NodeProcess::lastWaitStatus() const
{
    return m_lastWaitStatus;
}

const std::string &NodeProcess::name() const
{
    return m_name;
}

unsigned short NodeProcess::callerPort() const
{
    return m_callerPort;
}

unsigned short NodeProcess::readinessPort() const
{
    return m_readinessPort;
}

std::optional<pid_t> NodeProcess::pid() const
{
    return m_pid;
}

} // namespace coriander::soak
