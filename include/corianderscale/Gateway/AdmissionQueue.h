#pragma once

#include "corianderscale/Protocol/Records.h"
#include "corianderscale/Support/Time.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coriander {

/** A queued request that waits for an endpoint slot. */
struct QueueTicket {
    /** Increases with each ticket of the queue; a newer ticket has a greater id. */
    std::uint64_t id = 0;
    ServiceName service;
    Urgency urgency = Urgency::Normal;
    CallerKey caller;
    /** Latest useful start: a request that starts later would miss its deadline. */
    MonotonicTime startDeadline = NeverDue;
};

/** Bounds of a queue, in requests. */
struct AdmissionLimits {
    /** Maximum number of tickets in the queue. */
    std::size_t maximumQueued = 2000;
    /** Maximum number of tickets per caller, so that one caller cannot fill the whole queue. */
    std::size_t maximumPerCaller = 500;
};

/**
 * Bounded priority queue of requests, ordered by urgency class, with start deadlines.
 *
 * More urgent tickets are taken first. Within one class and service, tickets are taken round-robin over the callers and
 * in FIFO order per caller. When the queue is full, the newest ticket of the least urgent class is shed. Thread safety:
 * not thread safe.
 */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionLimits limits);

    /**
     * Adds a ticket and returns the tickets that were shed to make room. When the new ticket is refused, the returned
     * list contains it. Precondition: the id is greater than the ids of all earlier tickets.
     */
    std::vector<QueueTicket> add(const QueueTicket &ticket);

    /** Removes and returns the next ticket of a service and class, or no value when there is none. */
    std::optional<QueueTicket> take(const ServiceName &service, Urgency urgency);

    /** Removes and returns all tickets whose start deadline has passed. */
    std::vector<QueueTicket> takeExpired(MonotonicTime now);

    /** Removes and returns all tickets. */
    std::vector<QueueTicket> takeAll();

    /** The earliest start deadline; NeverDue when the queue is empty. */
    MonotonicTime nextDeadline() const;

    /** Number of queued tickets of the service in this class and in more urgent ones. */
    std::size_t countAhead(const ServiceName &service, Urgency urgency) const;

    /** Services that have tickets in this class. */
    std::vector<ServiceName> services(Urgency urgency) const;

    std::size_t size() const;
    std::size_t size(Urgency urgency) const;

private:
    /** Tickets of one service and class. */
    struct ServiceQueue {
        std::map<CallerKey, std::deque<std::uint64_t>> idsByCaller;
        /** Callers that have tickets, in round-robin order. */
        std::deque<CallerKey> callerOrder;
        std::size_t size = 0;
    };
    using ClassQueues = std::map<ServiceName, ServiceQueue>;

    void remove(const QueueTicket &ticket);
    QueueTicket removeById(std::uint64_t id);

    AdmissionLimits m_limits;
    std::array<ClassQueues, 3> m_classes;
    std::array<std::set<std::uint64_t>, 3> m_idsByClass;
    std::map<std::uint64_t, QueueTicket> m_tickets;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_deadlines;
    std::map<CallerKey, std::size_t> m_countByCaller;
};

} // namespace coriander
