#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <string>
#include <vector>

namespace coriander {

/** `GET /v1/worker`: what a worker is. */
struct WorkerInfo {
    WorkerId id;
    /** Changes with each start of the worker. */
    InstanceId incarnation;
    DataCentreId dataCentre;
    RackId rack;
    /** Place in the rack; neighbours differ by one. */
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
    /** Holds resources for a task; lapses after 5 s unless started. */
    Reserve,
    Start,
    Stop,
    Checkpoint,
    Throttle,
    /** Gives a reservation back. */
    Release,
    /** Extends the lease of all tasks of the worker but those of the excepted jobs. */
    Renew,
};

/** One order to a worker. Which fields count depends on the kind. */
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
     * Start and renew: refused when received after this time, in ms since the Unix epoch. 0 for no limit on a renewal.
     * Bounds how long an order that is delayed on its way can extend a lease.
     */
    std::int64_t startByUnixMs = 0;
    /** Stop: time to end in, in ms. Start and renew: term of the lease in ms, from receipt. */
    std::int64_t milliseconds = 0;
    /** Stop: whether to checkpoint first when the task can. Start: whether to resume from the last checkpoint. */
    bool checkpoint = false;
    /** Renew: digest of the task set the scheduler believes in; see taskSetDigest(). */
    std::string digest;
    /** Renew: jobs whose tasks must not be renewed. */
    std::vector<JobId> excepted;

    Json toJson() const;
    static WorkerOrder fromJson(JsonReader &reader);
};

/** `POST /v1/orders`. The orders are carried out in sequence. */
struct WorkerOrders {
    Epoch epoch;
    InstanceId from;
    /** Base address of the scheduler that takes the worker's reports. */
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
    /** Grows with each report of the worker's incarnation. */
    std::int64_t sequence = 0;
    /** Cumulative since the task started on this incarnation, in ms times the unit. */
    std::int64_t acceleratorMs = 0;
    std::int64_t coreMs = 0;
    std::int64_t memoryMibMs = 0;
    /** Present use, for finding tasks over their size. */
    MilliCores coresUsed;
    MemoryMib memoryUsed;

    Json toJson() const;
    static TaskReport fromJson(JsonReader &reader);
};

/** Reply to one order. */
struct OrderResult {
    bool ok = false;
    /** Why it was refused: `stale-epoch`, `no-room`, `too-late`, `unknown-task`, `leaving`. */
    std::string reason;

    Json toJson() const;
    static OrderResult fromJson(JsonReader &reader);
};

/** Reply to `POST /v1/orders`, and body of `POST {reportTo}/v1/reports`. */
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

/** Digest of a set of task ids, independent of their order. Thread safety: pure function. */
std::string taskSetDigest(std::vector<TaskId> tasks);

/** The wire names of the enumerations. */
std::string toText(OrderKind kind);
std::string toText(TaskState state);

} // namespace coriander
