#pragma once

#include "corianderscale/Gateway/AdmissionQueue.h"
#include "corianderscale/Gateway/EndpointDirectory.h"
#include "corianderscale/Gateway/Router.h"
#include "corianderscale/Gateway/ServiceTiming.h"
#include "corianderscale/Protocol/CallerMessages.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace coriander {

class Dispatcher;

/** One slot of an endpoint, given back when the lease is destroyed. Must not outlive the dispatcher. */
class SlotLease
{
public:
    SlotLease() = default;
    SlotLease(Dispatcher *dispatcher, const EndpointEntry &endpoint);
    SlotLease(SlotLease &&other) noexcept;
    SlotLease &operator=(SlotLease &&other) noexcept;
    SlotLease(const SlotLease &) = delete;
    SlotLease &operator=(const SlotLease &) = delete;
    ~SlotLease();

    /** Gives the slot back now. */
    void release();

    EndpointId endpoint;
    std::string address;
    InstanceId incarnation;

private:
    Dispatcher *m_dispatcher = nullptr;
};

/** A request that wants a slot. Exactly one of the two hooks is called, possibly inside Dispatcher::submit(). */
struct SlotRequest {
    ServiceName service;
    Urgency urgency = Urgency::Normal;
    CallerKey caller;
    /** Starting it later is of no use. */
    MonotonicTime startDeadline = NeverDue;
    std::function<void(SlotLease)> start;
    /** The request has not been started and never will be. */
    std::function<void(ErrorBody)> refuse;
};

/**
 * Gives slots to requests: at once when one is free, otherwise through the queue by urgency.
 *
 * A request is refused early when the queue ahead of it will not leave it a slot before its start deadline. Thread
 * safety: not thread safe; the hooks of requests may call back into the dispatcher.
 */
class Dispatcher
{
public:
    Dispatcher(
        EndpointDirectory &directory, Router &router, const ServiceTiming &timing, AdmissionLimits limits, Clock clock);

    void submit(SlotRequest request);

    /** A free slot for a further attempt, past the queue, so that a started request can finish. */
    std::optional<SlotLease> tryTake(const ServiceName &service, const std::set<EndpointId> &excluded);

    /** Starts waiting requests while slots are free, and refuses those that wait for too long. */
    void pump();

    /** Refuses everything that waits. */
    void refuseAll(const ErrorBody &error);

    /** When pump() should be called at the latest. */
    MonotonicTime nextDeadline() const;

    /** How long a new request would wait for a slot. */
    Duration expectedWait(const ServiceName &service, Urgency urgency) const;

    std::size_t queued() const;
    std::size_t queued(Urgency urgency) const;

private:
    friend class SlotLease;

    void giveBack(const EndpointId &endpoint);
    void enqueue(SlotRequest request);
    void startWaiting();
    bool startOne(Urgency urgency);
    void refuse(const QueueTicket &ticket, const ErrorBody &error);
    std::optional<SlotLease> take(const ServiceName &service, const std::set<EndpointId> &excluded);

    EndpointDirectory &m_directory;
    Router &m_router;
    const ServiceTiming &m_timing;
    AdmissionQueue m_queue;
    Clock m_clock;
    std::uint64_t m_lastTicket = 0;
    std::unordered_map<std::uint64_t, SlotRequest> m_waiting;
    bool m_pumping = false;
    bool m_pumpAgain = false;
};

} // namespace coriander
