#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <string>
#include <vector>

namespace coriander {

/** Response to `GET /v1/worker`: identity, location and capacity of a worker. */
struct WorkerInfo {
    WorkerId id;
    /** Changes with each start of the worker. */
    InstanceId incarnation;
    DataCentreId dataCentre;
    RackId rack;
    /** Position in the rack; neighbouring workers differ by one. */
    std::int64_t position = 0;
    MilliCores cores;
    MemoryMib memory;
    Accelerators accelerators;
    /** `live` or `leaving`. */
    std::string state = "live";

    Json toJson() const;
    static WorkerInfo fromJson(JsonReader &reader);
};

enum class OrderKind {
    /** Reserves resources for a task; the reservation expires after 5 s unless the task is started. */
    Reserve,
    Start,
    Stop,
    Checkpoint,
    Throttle,
    /** Cancels a reservation. */
    Release,
    /** Extends the leases of all tasks of the worker, except those of the excepted jobs. */
    Renew,
};

/** One order to a worker. The kind determines which fields are used. */
struct WorkerOrder {
    OrderKind kind = OrderKind::Renew;
    TaskId task;
    JobId job;
    /** Reserve: resources of the task. Throttle: the new limit on cores. */
    MilliCores cores;
    MemoryMib memory;
    Accelerators accelerators;
    /** Start: what to run; interpreted by the worker. */
    std::string command;
    /**
     * Start and renew: the worker refuses the order after this time, in ms since the Unix epoch; 0 for no limit on a
     * renewal. Limits how long an order that was delayed in transit can extend a lease.
     */
    std::int64_t startByUnixMs = 0;
    /** Stop: grace period in ms. Start and renew: term of the lease in ms, counted from receipt. */
    std::int64_t milliseconds = 0;
    /** Stop: whether to checkpoint first if the task can. Start: whether to resume from the last checkpoint. */
    bool checkpoint = false;
    /** Renew: digest of the tasks that the scheduler assumes on the worker; see taskSetDigest(). */
    std::string digest;
    /** Renew: jobs whose tasks must not be renewed. */
    std::vector<JobId> excepted;

    Json toJson() const;
    static WorkerOrder fromJson(JsonReader &reader);
};

/** Body of `POST /v1/orders`. The orders are executed in sequence. */
struct WorkerOrders {
    Epoch epoch;
    InstanceId from;
    /** Base address of the scheduler that receives the worker's reports. */
    std::string reportTo;
    std::vector<WorkerOrder> orders;

    Json toJson() const;
    static WorkerOrders fromJson(JsonReader &reader);
};

enum class TaskState {
    Reserved,
    Running,
    Stopping,
    Succeeded,
    Failed,
    Stopped,
};

/** State and cumulative usage of one task as the worker knows it. */
struct TaskReport {
    TaskId task;
    JobId job;
    TaskState state = TaskState::Reserved;
    /** Why the task failed or stopped. */
    std::string reason;
    /** Whether a checkpoint exists from which the task can resume. */
    bool checkpointed = false;
    /** Sequence number; increases with each report of the worker's incarnation. */
    std::int64_t sequence = 0;
    /** Cumulative usage since the task started on this incarnation: quantity times duration in ms. */
    std::int64_t acceleratorMs = 0;
    std::int64_t coreMs = 0;
    std::int64_t memoryMibMs = 0;
    /** Current usage, to detect tasks that exceed their declared resources. */
    MilliCores coresUsed;
    MemoryMib memoryUsed;

    Json toJson() const;
    static TaskReport fromJson(JsonReader &reader);
};

/** Result of one order. */
struct OrderResult {
    bool ok = false;
    /** Why the order was refused: `stale-epoch`, `no-room`, `too-late`, `unknown-task`, `leaving`. */
    std::string reason;

    Json toJson() const;
    static OrderResult fromJson(JsonReader &reader);
};

/** Response to `POST /v1/orders`, and body of `POST {reportTo}/v1/reports`. */
struct WorkerReport {
    WorkerId worker;
    InstanceId incarnation;
    /** Highest epoch the worker has seen. */
    Epoch epoch;
    std::string digest;
    std::vector<OrderResult> results;
    /** Tasks whose state changed, or all tasks when the digests differ. */
    std::vector<TaskReport> tasks;
    /** Whether @c tasks lists every task of the worker. */
    bool full = false;

    Json toJson() const;
    static WorkerReport fromJson(JsonReader &reader);
};

/** Returns a digest of a set of task ids that does not depend on their order. Thread safety: pure function. */
std::string taskSetDigest(std::vector<TaskId> tasks);

/** Return the wire names of the enumerators. */
std::string toText(OrderKind kind);
std::string toText(TaskState state);

} // namespace coriander
