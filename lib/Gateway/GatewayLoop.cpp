#include "corianderscale/Gateway/GatewayLoop.h"

#include <algorithm>
#include <future>
#include <thread>

namespace coriander {

namespace {

constexpr std::size_t RingCapacityTasks = 65536;
/** New work is refused from this number of queued tasks on, so that completions always find room in the ring. */
constexpr std::size_t AcceptLimitTasks = 8192;
constexpr int TasksPerStep = 256;
constexpr Duration FullRingWait = std::chrono::milliseconds(1);

} // namespace

GatewayLoop::GatewayLoop(Clock clock, Duration tickInterval, std::function<void()> tick)
    : m_clock(std::move(clock))
    , m_tickInterval(tickInterval)
    , m_tick(std::move(tick))
    , m_ring(RingCapacityTasks)
{
}

GatewayLoop::~GatewayLoop()
{
    stop();
}

void GatewayLoop::start()
{
    m_thread = std::make_unique<DutyThread>("gateway", [this] { step(); });
}

void GatewayLoop::stop()
{
    m_thread.reset();
}

bool GatewayLoop::acceptsWork() const
{
    return m_ring.size() < AcceptLimitTasks;
}

void GatewayLoop::post(std::function<void()> task)
{
    while (!m_ring.push(task)) {
        std::this_thread::sleep_for(FullRingWait);
    }
}

void GatewayLoop::postAndWait(const std::function<void()> &task)
{
    std::promise<void> done;
    post([&task, &done] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void GatewayLoop::at(MonotonicTime due, std::function<void()> task)
{
    m_timers.add(due, std::move(task));
}

void GatewayLoop::step()
{
    const MonotonicTime now = m_clock.now();
    const MonotonicTime wake = std::min(m_timers.next(), m_tickAt);
    auto task = m_ring.pop(std::max(Duration(0), wake - now));
    for (int i = 0; task && i < TasksPerStep; ++i) {
        (*task)();
        task = m_ring.tryPop();
    }
    if (task) {
        (*task)();
    }
    m_timers.run(m_clock.now());
    if (m_clock.now() >= m_tickAt) {
        m_tickAt = m_clock.now() + m_tickInterval;
        m_tick();
    }
}

} // namespace coriander
