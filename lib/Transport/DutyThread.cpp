#include "corianderscale/Transport/DutyThread.h"

#include <pthread.h>

namespace coriander {

namespace {

/** Linux limits thread names to 15 characters. */
constexpr std::size_t MaximumThreadNameLength = 15;

} // namespace

DutyThread::DutyThread(std::string name, std::function<void()> step)
    : m_thread([this, name = name.substr(0, MaximumThreadNameLength), step = std::move(step)] {
        pthread_setname_np(pthread_self(), name.c_str());
        while (!m_stopping.load()) {
            step();
        }
    })
{
}

DutyThread::~DutyThread()
{
    stop();
}

void DutyThread::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace coriander
