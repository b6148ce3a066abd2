#pragma once

#include "corianderscale/Support/Time.h"

namespace coriander {

/** Times of the scheduler's protocol with workers; docs/design.md, section 9. */
struct SchedulerTiming {
    /** Term of a task's lease, from the worker's receipt of the renewal. */
    Duration leaseTerm = std::chrono::seconds(45);
    Duration renewalInterval = std::chrono::seconds(15);
    /** Time a task gets to end after a stop or after its lease has lapsed. */
    Duration stopGrace = std::chrono::seconds(5);
    /** A reservation lapses after this time at its worker. */
    Duration reservationTerm = std::chrono::seconds(5);
    /** A start order is refused later than this after the start of the gang was decided by all reservations. */
    Duration startWindow = std::chrono::seconds(3);
    /** How long an answer of a worker is waited for. */
    Duration requestLimit = std::chrono::seconds(2);
    /**
     * A worker without an answer for this time is lost. Shorter than the lease term, so that the other members of a
     * gang are stopped before the lease of the lost member lapses.
     */
    Duration lostAfter = std::chrono::seconds(30);
    /** An order without effect is sent again after this time. */
    Duration resendInterval = std::chrono::seconds(1);
    /** How long a new owner waits for workers to say what runs. */
    Duration askLimit = std::chrono::seconds(5);
};

} // namespace coriander
