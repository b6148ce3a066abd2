#include "corianderscale/Daemon/ShutdownSignals.h"

#include <csignal>
#include <ctime>

namespace coriander {

namespace {

sigset_t shutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

void blockShutdownSignals()
{
    const sigset_t signals = shutdownSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool waitForShutdownSignal(Duration wait)
{
    const sigset_t signals = shutdownSignals();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(wait);
    timespec limit{};
    limit.tv_sec = seconds.count();
    limit.tv_nsec = std::chrono::nanoseconds(wait - seconds).count();
    return sigtimedwait(&signals, nullptr, &limit) > 0;
}

} // namespace coriander
