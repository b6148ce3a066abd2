#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander {

/** Durations of the protocol between scheduler and workers; docs/design.md, section 9. */
struct SchedulerTiming {
    /** Term of a task's lease, counted from the worker's receipt of the renewal. */
    Duration leaseTerm = std::chrono::seconds(45);
    Duration renewalInterval = std::chrono::seconds(15);
    /** Time a task has to end after a stop order or after its lease has expired. */
    Duration stopGrace = std::chrono::seconds(5);
    /** A worker drops a reservation that was not started within this time. */
    Duration reservationTerm = std::chrono::seconds(5);
    /** Workers refuse a start order that arrives later than this after all members of the gang were reserved. */
    Duration startWindow = std::chrono::seconds(3);
    /** Timeout of a request to a worker. */
    Duration requestTimeout = std::chrono::seconds(2);
    /**
     * A worker that has not answered for this time is lost. It is shorter than the lease term, so that the other
     * members of a gang are stopped before the lease of the lost member expires.
     */
    Duration workerLostTimeout = std::chrono::seconds(30);
    /** Interval between repetitions of an order that has had no effect yet. */
    Duration resendInterval = std::chrono::seconds(1);
    /** How long a new owner waits for the workers to report their tasks. */
    Duration takeoverQueryTimeout = std::chrono::seconds(5);
};

} // namespace coriander
