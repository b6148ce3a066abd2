#include "corianderscale/Gateway/Dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

namespace coriander {

namespace {

constexpr std::array Classes = {Urgency::Urgent, Urgency::Normal, Urgency::Background};
constexpr Duration MinimumRetryAfter = std::chrono::milliseconds(100);

std::int64_t toMs(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

ErrorBody overloadedError(Outcome outcome, std::string reason, Duration retryAfter)
{
    return {"overloaded", outcome, std::move(reason), toMs(std::max(retryAfter, MinimumRetryAfter))};
}

} // namespace

SlotLease::SlotLease(Dispatcher *dispatcher, const EndpointEntry &entry)
    : endpoint(entry.id)
    , address(entry.address)
    , incarnation(entry.incarnation)
    , m_dispatcher(dispatcher)
{
}

SlotLease::SlotLease(SlotLease &&other) noexcept
    : endpoint(std::move(other.endpoint))
    , address(std::move(other.address))
    , incarnation(std::move(other.incarnation))
    , m_dispatcher(std::exchange(other.m_dispatcher, nullptr))
{
}

SlotLease &SlotLease::operator=(SlotLease &&other) noexcept
{
    if (this != &other) {
        release();
        endpoint = std::move(other.endpoint);
        address = std::move(other.address);
        incarnation = std::move(other.incarnation);
        m_dispatcher = std::exchange(other.m_dispatcher, nullptr);
    }
    return *this;
}

SlotLease::~SlotLease()
{
    release();
}

void SlotLease::release()
{
    if (Dispatcher *dispatcher = std::exchange(m_dispatcher, nullptr)) {
        dispatcher->returnSlot(endpoint);
    }
}

Dispatcher::Dispatcher(
    EndpointDirectory &directory, Router &router, const ServiceTiming &timing, AdmissionLimits limits, Clock clock)
    : m_directory(directory)
    , m_router(router)
    , m_timing(timing)
    , m_queue(limits)
    , m_clock(std::move(clock))
{
}

void Dispatcher::submit(SlotRequest request)
{
    if (request.startDeadline <= m_clock.now()) {
        request.refuse(
            {"too-late", Outcome::NotRun, "the deadline leaves too little time to run; set a later deadline"});
        return;
    }
    if (m_queue.countAhead(request.service, request.urgency) == 0) {
        if (auto lease = take(request.service, {})) {
            request.start(std::move(*lease));
            return;
        }
    }
    const Duration wait = expectedWait(request.service, request.urgency);
    if (wait > request.startDeadline - m_clock.now()) {
        request.refuse(
            overloadedError(Outcome::NotRun, "the expected wait in the queue exceeds the deadline; retry later", wait));
        return;
    }
    enqueue(std::move(request));
}

void Dispatcher::enqueue(SlotRequest request)
{
    const QueueTicket ticket{++m_lastTicket, request.service, request.urgency, request.caller, request.startDeadline};
    m_waiting.emplace(ticket.id, std::move(request));
    for (const QueueTicket &shed : m_queue.add(ticket)) {
        refuse(shed, overloadedError(Outcome::NotRun, "the queue is full; retry later", Duration(0)));
    }
}

std::optional<SlotLease> Dispatcher::tryTake(const ServiceName &service, const std::set<EndpointId> &excluded)
{
    return take(service, excluded);
}

std::optional<SlotLease> Dispatcher::take(const ServiceName &service, const std::set<EndpointId> &excluded)
{
    const std::optional<EndpointId> chosen = m_router.choose(service, excluded, m_clock.now());
    if (!chosen) {
        return std::nullopt;
    }
    m_directory.takeSlot(*chosen);
    return SlotLease(this, *m_directory.find(*chosen));
}

void Dispatcher::returnSlot(const EndpointId &endpoint)
{
    m_directory.freeSlot(endpoint);
    dispatchQueued();
}

void Dispatcher::dispatchQueued()
{
    if (m_dispatching) {
        m_dispatchAgain = true;
        return;
    }
    m_dispatching = true;
    do {
        m_dispatchAgain = false;
        for (const QueueTicket &ticket : m_queue.takeExpired(m_clock.now())) {
            refuse(ticket, {"too-late", Outcome::NotRun, "no slot was free before the start deadline; retry later"});
        }
        startWaiting();
    } while (m_dispatchAgain);
    m_dispatching = false;
}

void Dispatcher::startWaiting()
{
    for (const Urgency urgency : Classes) {
        while (startOnePerService(urgency)) { }
    }
}

bool Dispatcher::startOnePerService(Urgency urgency)
{
    bool started = false;
    for (const ServiceName &service : m_queue.services(urgency)) {
        auto lease = take(service, {});
        if (!lease) {
            continue;
        }
        const auto ticket = m_queue.take(service, urgency);
        if (!ticket) {
            continue;
        }
        auto waiting = m_waiting.extract(ticket->id);
        waiting.mapped().start(std::move(*lease));
        started = true;
    }
    return started;
}

void Dispatcher::refuse(const QueueTicket &ticket, const ErrorBody &error)
{
    auto waiting = m_waiting.extract(ticket.id);
    waiting.mapped().refuse(error);
}

void Dispatcher::refuseAll(const ErrorBody &error)
{
    for (const QueueTicket &ticket : m_queue.takeAll()) {
        refuse(ticket, error);
    }
}

MonotonicTime Dispatcher::nextDeadline() const
{
    return m_queue.nextDeadline();
}

Duration Dispatcher::expectedWait(const ServiceName &service, Urgency urgency) const
{
    const auto ahead = static_cast<std::int64_t>(m_queue.countAhead(service, urgency));
    const std::int64_t slots = m_directory.totalShare(service, m_clock.now());
    return slots == 0 ? Duration(0) : m_timing.mean(service) * ahead / slots;
}

std::size_t Dispatcher::queued() const
{
    return m_queue.size();
}

std::size_t Dispatcher::queued(Urgency urgency) const
{
    return m_queue.size(urgency);
}

} // namespace coriander
