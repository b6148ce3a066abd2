#pragma once

#include "corianderscale/Decision/Types.h"
#include "corianderscale/Support/Units.h"
#include "corianderscale/Workflow/JobSpec.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coriander::workflow {

/** One life of a worker's process; a worker that starts again under its id has another one. */
using Incarnation = Quantity<struct IncarnationTag>;
/** Milliseconds of a worker's own steady clock; it means nothing to others. */
using WorkerClockMs = Quantity<struct WorkerClockTag>;

/** What a worker says of itself to the discovery. */
struct WorkerReport {
    WorkerId id;
    Incarnation incarnation;
    ServiceName service;
    /** `IPv4:port` for orders. */
    std::string address;
    DataCentreId dataCentre;
    RackId rack;
    std::vector<std::string> labels;
    decision::Resources capacity;
    bool draining = false;
    /** Least time until a draining worker leaves. */
    std::optional<Duration> leavesIn;
};

/** Names the worker that an order is meant for; any other incarnation refuses it. */
struct OrderTarget {
    WorkerId worker;
    std::string address;
    Incarnation incarnation;
    /** Ownership epoch; the worker ignores orders with a lower one than it has seen. */
    Epoch epoch;
};

struct StartOrder {
    TaskKey task;
    std::int64_t run = 0;
    std::string payload;
    /** Lease of everything on the worker; extends it, never shortens it. */
    WorkerClockMs leaseUntil;
    /** State to resume from; empty for none. */
    std::string checkpoint;
    /** The advisor's approval; empty where none is needed. */
    std::string ticket;
};

struct StopOrder {
    TaskKey task;
    std::int64_t run = 0;
};

struct HoldOrder {
    /** Extends the lease when set. */
    std::optional<WorkerClockMs> leaseUntil;
    /** Ends up to this number are durably recorded here and may be forgotten there. */
    std::int64_t recordedThrough = 0;
    /** The answer waits this long for an end. */
    Duration wait{};
};

enum class OrderOutcome {
    Done,
    /** The worker says that it did not and will not do it. */
    Refused,
    /** The worker did not do it because the start carries no valid ticket of the advisor. */
    NotApproved,
    /** The worker has seen a higher epoch and did nothing. */
    Superseded,
    /** Another incarnation runs at the address; the one that was meant is gone. */
    OtherIncarnation,
    /** Nothing was sent. */
    Unreachable,
    /** Sent without an answer; it may be carried out, also seconds later. */
    Unknown,
};

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<WorkerClockMs> clock;
    /** Why it was not done. */
    std::string reason;
};

struct RunningTask {
    TaskKey task;
    std::int64_t run = 0;
    std::string checkpoint;
    /** Share of the work that is done, 0 to 100. */
    int percent = 0;
};

enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseLapsed,
    /** Another member of its gang ended. */
    GangBroken,
    /** The other members of its gang did not come in time. */
    GangIncomplete,
};

const char *endKindName(EndKind kind);

struct EndedTask {
    /** Counts the ends of one incarnation from 1. */
    std::int64_t number = 0;
    TaskKey task;
    std::int64_t run = 0;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;
};

struct HoldAnswer : OrderAnswer {
    std::optional<Incarnation> incarnation;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

using OrderDone = std::function<void(const OrderAnswer &)>;
using HoldDone = std::function<void(const HoldAnswer &)>;

/**
 * Sends orders to workers. Completions run later on the thread of the event loop, exactly once.
 * Thread safety: that thread only.
 */
class WorkerOrders
{
public:
    virtual ~WorkerOrders() = default;

    virtual void start(const OrderTarget &target, const StartOrder &order, OrderDone done) = 0;
    virtual void stop(const OrderTarget &target, const StopOrder &order, OrderDone done) = 0;
    virtual void hold(const OrderTarget &target, const HoldOrder &order, HoldDone done) = 0;
};

} // namespace coriander::workflow
