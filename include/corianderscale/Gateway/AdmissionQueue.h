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

/** A request that waits for a slot. */
struct QueueTicket {
    /** Grows with each ticket of the queue; tells which is newer. */
    std::uint64_t id = 0;
    ServiceName service;
    Urgency urgency = Urgency::Normal;
    CallerKey caller;
    /** Starting it later is of no use. */
    MonotonicTime startDeadline = NeverDue;
};

/** Bounds of a queue. */
struct AdmissionLimits {
    std::size_t maximumQueued = 2000;
    /** The most tickets of one caller, so that one caller cannot take the whole queue. */
    std::size_t maximumPerCaller = 500;
};

/**
 * Bounded queue of requests by urgency, with deadlines.
 *
 * More urgent tickets leave first; tickets of one class and service leave in turns of their callers, each caller's in
 * order. When the queue is full the newest ticket of the least urgent class is shed. Thread safety: not thread safe.
 */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionLimits limits);

    /**
     * Adds a ticket and returns the tickets that are shed for it; the ticket itself is among them when it is refused.
     * Precondition: the id is greater than those of all earlier tickets.
     */
    std::vector<QueueTicket> add(const QueueTicket &ticket);

    /** Takes the next ticket of a service and class. */
    std::optional<QueueTicket> take(const ServiceName &service, Urgency urgency);

    /** Takes all tickets whose start deadline has passed. */
    std::vector<QueueTicket> takeExpired(MonotonicTime now);

    /** Takes every ticket. */
    std::vector<QueueTicket> takeAll();

    /** The earliest start deadline; NeverDue when the queue is empty. */
    MonotonicTime nextDeadline() const;

    /** Number of tickets that leave before a new one of this service and class. */
    std::size_t ahead(const ServiceName &service, Urgency urgency) const;

    /** Services with tickets of this class. */
    std::vector<ServiceName> services(Urgency urgency) const;

    std::size_t size() const;
    std::size_t size(Urgency urgency) const;

private:
    /** Tickets of one service and class. */
    struct Line {
        std::map<CallerKey, std::deque<std::uint64_t>> perCaller;
        /** Callers with tickets, in the order of their turns. */
        std::deque<CallerKey> turns;
        std::size_t size = 0;
    };
    using Class = std::map<ServiceName, Line>;

    void remove(const QueueTicket &ticket);
    QueueTicket removeById(std::uint64_t id);

    AdmissionLimits m_limits;
    std::array<Class, 3> m_classes;
    std::array<std::set<std::uint64_t>, 3> m_idsByClass;
    std::map<std::uint64_t, QueueTicket> m_tickets;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_deadlines;
    std::map<CallerKey, std::size_t> m_perCaller;
};

} // namespace coriander
