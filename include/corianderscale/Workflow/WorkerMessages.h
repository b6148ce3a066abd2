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

/** Identifies one process of a worker; a worker that restarts under the same id gets a higher one. */
using Incarnation = Quantity<struct IncarnationTag>;
/** Milliseconds of a worker's own steady clock; not comparable with other clocks. */
using WorkerClockMs = Quantity<struct WorkerClockTag>;

/** A worker's description of itself in the discovery table. */
struct WorkerReport {
    WorkerId id;
    Incarnation incarnation;
    ServiceName service;
    /** `IPv4:port` to which orders are sent. */
    std::string address;
    DataCentreId dataCentre;
    RackId rack;
    std::vector<std::string> labels;
    decision::Resources capacity;
    bool draining = false;
    /** Minimum time until a draining worker leaves. */
    std::optional<Duration> minimumTimeToLeave;
};

/** The worker that an order is meant for; any other incarnation refuses the order. */
struct OrderTarget {
    WorkerId worker;
    std::string address;
    Incarnation incarnation;
    /** Epoch of the owner's term; a worker ignores orders with a lower epoch than it has seen. */
    Epoch epoch;
};

struct StartOrder {
    TaskKey task;
    std::int64_t run = 0;
    std::string payload;
    /** End of the lease of all runs on the worker; extends the lease, never shortens it. */
    WorkerClockMs leaseUntil;
    /** Checkpoint to resume from; empty for none. */
    std::string checkpoint;
    /** The advisor's ticket; empty if none is needed. */
    std::string ticket;
};

struct StopOrder {
    TaskKey task;
    std::int64_t run = 0;
};

/** Extends the lease of a worker, acknowledges ends and asks for the worker's runs. */
struct HoldOrder {
    /** Extends the lease when set. */
    std::optional<WorkerClockMs> leaseUntil;
    /** The effects of ends up to this number are stored by the owner; the worker may forget these ends. */
    std::int64_t acknowledgedThrough = 0;
    /** How long the worker delays its answer until a run ends. */
    Duration wait{};
};

enum class OrderOutcome {
    Done,
    /** The worker did not and will not carry out the order. */
    Refused,
    /** The worker refused a start without a valid ticket of the advisor. */
    NotApproved,
    /** The worker ignored the order because it has seen a higher epoch. */
    Superseded,
    /** Another worker process answered at the address; the one that was meant is gone. */
    OtherIncarnation,
    /** The order was not sent. */
    Unreachable,
    /** The order was sent but not answered; it may be carried out, even seconds later. */
    Unknown,
};

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<WorkerClockMs> clock;
    /** Why the order was not carried out. */
    std::string reason;
};

struct RunningTask {
    TaskKey task;
    std::int64_t run = 0;
    std::string checkpoint;
    /** Percent of the work that is done, 0 to 100. */
    int percent = 0;
};

enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseLapsed,
    /** The run ended because another member of its gang ended. */
    GangBroken,
    /** The run ended because other members of its gang did not start in time. */
    GangIncomplete,
};

const char *endKindName(EndKind kind);

struct EndedTask {
    /** Number of the end; the ends of one incarnation are numbered from 1. */
    std::int64_t number = 0;
    TaskKey task;
    std::int64_t run = 0;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;
};

struct HoldAnswer : OrderAnswer {
    std::optional<Incarnation> incarnation;
    std::vector<RunningTask> running;
    /** The oldest ends that the worker was not told to forget. */
    std::vector<EndedTask> ended;
    /** Whether the worker may have more ends than it lists; it lists them once it may forget earlier ones. */
    bool moreEnds = false;
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
