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
    const auto held = m_perCaller.find(ticket.caller);
    if (held != m_perCaller.end() && held->second >= m_limits.maximumPerCaller) {
        return {ticket};
    }
    std::vector<QueueTicket> shed;
    if (m_tickets.size() >= m_limits.maximumQueued) {
        std::size_t least = m_idsByClass.size() - 1;
        while (least > indexOf(ticket.urgency) && m_idsByClass[least].empty()) {
            --least;
        }
        if (least <= indexOf(ticket.urgency)) {
            return {ticket};
        }
        shed.push_back(removeById(*m_idsByClass[least].rbegin()));
    }
    m_tickets[ticket.id] = ticket;
    m_idsByClass[indexOf(ticket.urgency)].insert(ticket.id);
    m_deadlines.emplace(ticket.startDeadline, ticket.id);
    ++m_perCaller[ticket.caller];
    Line &line = m_classes[indexOf(ticket.urgency)][ticket.service];
    std::deque<std::uint64_t> &own = line.perCaller[ticket.caller];
    if (own.empty()) {
        line.turns.push_back(ticket.caller);
    }
    own.push_back(ticket.id);
    ++line.size;
    return shed;
}

void AdmissionQueue::remove(const QueueTicket &ticket)
{
    Class &tickets = m_classes[indexOf(ticket.urgency)];
    const auto line = tickets.find(ticket.service);
    std::deque<std::uint64_t> &own = line->second.perCaller.at(ticket.caller);
    own.erase(std::lower_bound(own.begin(), own.end(), ticket.id));
    if (own.empty()) {
        line->second.perCaller.erase(ticket.caller);
        std::erase(line->second.turns, ticket.caller);
    }
    if (--line->second.size == 0) {
        tickets.erase(line);
    }
    const auto held = m_perCaller.find(ticket.caller);
    if (--held->second == 0) {
        m_perCaller.erase(held);
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
    Class &tickets = m_classes[indexOf(urgency)];
    const auto line = tickets.find(service);
    if (line == tickets.end()) {
        return std::nullopt;
    }
    std::deque<CallerKey> &turns = line->second.turns;
    const CallerKey caller = turns.front();
    const std::deque<std::uint64_t> &own = line->second.perCaller.at(caller);
    const std::uint64_t id = own.front();
    if (own.size() > 1) {
        turns.pop_front();
        turns.push_back(caller);
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

std::size_t AdmissionQueue::ahead(const ServiceName &service, Urgency urgency) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i <= indexOf(urgency); ++i) {
        const auto line = m_classes[i].find(service);
        count += line == m_classes[i].end() ? 0 : line->second.size;
    }
    return count;
}

std::vector<ServiceName> AdmissionQueue::services(Urgency urgency) const
{
    std::vector<ServiceName> names;
    for (const auto &[name, line] : m_classes[indexOf(urgency)]) {
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
