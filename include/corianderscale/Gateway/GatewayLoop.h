#pragma once

#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/DutyThread.h"

#include <functional>
#include <memory>

namespace coriander {

/**
 * The gateway's thread: runs posted tasks, timers and a regular tick.
 *
 * Thread safety: post() and acceptsWork() from any thread; at() on the gateway's thread only.
 */
class GatewayLoop
{
public:
    GatewayLoop(Clock clock, Duration tickInterval, std::function<void()> tick);
    /** Stops the thread; tasks that have not run yet are dropped. */
    ~GatewayLoop();
    GatewayLoop(const GatewayLoop &) = delete;
    GatewayLoop &operator=(const GatewayLoop &) = delete;

    void start();
    void stop();

    /** Whether new work may be posted. Completions of earlier work are posted regardless. */
    bool acceptsWork() const;

    /**
     * Queues a task for the gateway's thread. Blocks while the ring is full; the gateway's thread itself must never
     * have to wait here.
     */
    void post(std::function<void()> task);

    /** Runs a task and waits for it. Precondition: the loop runs; not called on the gateway's thread. */
    void postAndWait(const std::function<void()> &task);

    void at(MonotonicTime due, std::function<void()> task);

private:
    void step();

    Clock m_clock;
    Duration m_tickInterval;
    std::function<void()> m_tick;
    MonotonicTime m_tickAt{};
    BoundedRing<std::function<void()>> m_ring;
    TimerQueue m_timers;
    std::unique_ptr<DutyThread> m_thread;
};

} // namespace coriander
