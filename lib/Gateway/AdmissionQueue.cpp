#include "corianderscale/Gateway/AdmissionQueue.h"

#include <algorithm>
#include <cassert>

namespace coriander {

namespace {

std::size_t indexOf(Urgency urgency)
{
    return static_cast<std::size_t>(urgency);
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionLimits limits)
    : m_limits(limits)
{
}

std::vector<QueueTicket> AdmissionQueue::add(const QueueTicket &ticket)
{
    assert((m_tickets.empty() || m_tickets.rbegin()->first < ticket.id) && "ticket ids increase");
    const auto callerCount = m_countByCaller.find(ticket.caller);
    if (callerCount != m_countByCaller.end() && callerCount->second >= m_limits.maximumPerCaller) {
        return {ticket};
    }
    std::vector<QueueTicket> shed;
    if (m_tickets.size() >= m_limits.maximumQueued) {
        std::size_t leastUrgent = m_idsByClass.size() - 1;
        while (leastUrgent > indexOf(ticket.urgency) && m_idsByClass[leastUrgent].empty()) {
            --leastUrgent;
        }
        if (leastUrgent <= indexOf(ticket.urgency)) {
            return {ticket};
        }
        shed.push_back(removeById(*m_idsByClass[leastUrgent].rbegin()));
    }
    m_tickets[ticket.id] = ticket;
    m_idsByClass[indexOf(ticket.urgency)].insert(ticket.id);
    m_deadlines.emplace(ticket.startDeadline, ticket.id);
    ++m_countByCaller[ticket.caller];
    ServiceQueue &serviceQueue = m_classes[indexOf(ticket.urgency)][ticket.service];
    std::deque<std::uint64_t> &callerTickets = serviceQueue.idsByCaller[ticket.caller];
    if (callerTickets.empty()) {
        serviceQueue.callerOrder.push_back(ticket.caller);
    }
    callerTickets.push_back(ticket.id);
    ++serviceQueue.size;
    return shed;
}

void AdmissionQueue::remove(const QueueTicket &ticket)
{
    ClassQueues &classQueues = m_classes[indexOf(ticket.urgency)];
    const auto serviceQueue = classQueues.find(ticket.service);
    std::deque<std::uint64_t> &callerTickets = serviceQueue->second.idsByCaller.at(ticket.caller);
    callerTickets.erase(std::lower_bound(callerTickets.begin(), callerTickets.end(), ticket.id));
    if (callerTickets.empty()) {
        serviceQueue->second.idsByCaller.erase(ticket.caller);
        std::erase(serviceQueue->second.callerOrder, ticket.caller);
    }
    if (--serviceQueue->second.size == 0) {
        classQueues.erase(serviceQueue);
    }
    const auto callerCount = m_countByCaller.find(ticket.caller);
    if (--callerCount->second == 0) {
        m_countByCaller.erase(callerCount);
    }
    m_deadlines.erase({ticket.startDeadline, ticket.id});
    m_idsByClass[indexOf(ticket.urgency)].erase(ticket.id);
}

QueueTicket AdmissionQueue::removeById(std::uint64_t id)
{
    const auto found = m_tickets.find(id);
    QueueTicket ticket = std::move(found->second);
    m_tickets.erase(found);
    remove(ticket);
    return ticket;
}

std::optional<QueueTicket> AdmissionQueue::take(const ServiceName &service, Urgency urgency)
{
    ClassQueues &classQueues = m_classes[indexOf(urgency)];
    const auto serviceQueue = classQueues.find(service);
    if (serviceQueue == classQueues.end()) {
        return std::nullopt;
    }
    std::deque<CallerKey> &callerOrder = serviceQueue->second.callerOrder;
    const CallerKey caller = callerOrder.front();
    const std::deque<std::uint64_t> &callerTickets = serviceQueue->second.idsByCaller.at(caller);
    const std::uint64_t id = callerTickets.front();
    if (callerTickets.size() > 1) {
        callerOrder.pop_front();
        callerOrder.push_back(caller);
    }
    return removeById(id);
}

std::vector<QueueTicket> AdmissionQueue::takeExpired(MonotonicTime now)
{
    std::vector<QueueTicket> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        expired.push_back(removeById(m_deadlines.begin()->second));
    }
    return expired;
}

std::vector<QueueTicket> AdmissionQueue::takeAll()
{
    std::vector<QueueTicket> all;
    while (!m_tickets.empty()) {
        all.push_back(removeById(m_tickets.begin()->first));
    }
    return all;
}

MonotonicTime AdmissionQueue::nextDeadline() const
{
    return m_deadlines.empty() ? NeverDue : m_deadlines.begin()->first;
}

std::size_t AdmissionQueue::countAhead(const ServiceName &service, Urgency urgency) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i <= indexOf(urgency); ++i) {
        const auto serviceQueue = m_classes[i].find(service);
        count += serviceQueue == m_classes[i].end() ? 0 : serviceQueue->second.size;
    }
    return count;
}

std::vector<ServiceName> AdmissionQueue::services(Urgency urgency) const
{
    std::vector<ServiceName> names;
    for (const auto &[name, serviceQueue] : m_classes[indexOf(urgency)]) {
        names.push_back(name);
    }
    return names;
}

std::size_t AdmissionQueue::size() const
{
    return m_tickets.size();
}

std::size_t AdmissionQueue::size(Urgency urgency) const
{
    return m_idsByClass[indexOf(urgency)].size();
}

} // namespace coriander
