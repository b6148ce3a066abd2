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

/** One slot of an endpoint, released when the lease is destroyed. Must not outlive the dispatcher. */
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

    /** Releases the slot; does nothing when it is already released. */
    void release();

    EndpointId endpoint;
    std::string address;
    InstanceId incarnation;

private:
    Dispatcher *m_dispatcher = nullptr;
};

/** A request for a slot. Exactly one of the two hooks is called, possibly inside Dispatcher::submit(). */
struct SlotRequest {
    ServiceName service;
    Urgency urgency = Urgency::Normal;
    CallerKey caller;
    /** Latest useful start: a request that starts later would miss its deadline. */
    MonotonicTime startDeadline = NeverDue;
    std::function<void(SlotLease)> start;
    /** Called when the request was not started and will not be started. */
    std::function<void(ErrorBody)> refuse;
};

/**
 * Assigns slots to requests: immediately when one is free, otherwise through a queue ordered by urgency.
 *
 * A request is refused on submission when the expected wait in the queue exceeds the time to its start deadline. Thread
 * safety: not thread safe; the hooks of requests may call back into the dispatcher.
 */
class Dispatcher
{
public:
    Dispatcher(
        EndpointDirectory &directory, Router &router, const ServiceTiming &timing, AdmissionLimits limits, Clock clock);

    void submit(SlotRequest request);

    /** Takes a free slot for a further attempt, bypassing the queue, so that a started request can finish. */
    std::optional<SlotLease> tryTake(const ServiceName &service, const std::set<EndpointId> &excluded);

    /** Starts queued requests while slots are free, and refuses those whose start deadline has passed. */
    void dispatchQueued();

    /** Refuses all queued requests. */
    void refuseAll(const ErrorBody &error);

    /** The latest time for the next call of dispatchQueued(); NeverDue when the queue is empty. */
    MonotonicTime nextDeadline() const;

    /** Estimated time that a new request would wait for a slot. */
    Duration expectedWait(const ServiceName &service, Urgency urgency) const;

    std::size_t queued() const;
    std::size_t queued(Urgency urgency) const;

private:
    friend class SlotLease;

    void returnSlot(const EndpointId &endpoint);
    void enqueue(SlotRequest request);
    void startWaiting();
    bool startOnePerService(Urgency urgency);
    void refuse(const QueueTicket &ticket, const ErrorBody &error);
    std::optional<SlotLease> take(const ServiceName &service, const std::set<EndpointId> &excluded);

    EndpointDirectory &m_directory;
    Router &m_router;
    const ServiceTiming &m_timing;
    AdmissionQueue m_queue;
    Clock m_clock;
    std::uint64_t m_lastTicket = 0;
    std::unordered_map<std::uint64_t, SlotRequest> m_waiting;
    bool m_dispatching = false;
    bool m_dispatchAgain = false;
};

} // namespace coriander
