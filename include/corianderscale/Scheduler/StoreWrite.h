#pragma once

#include "corianderscale/Protocol/TableMessages.h"

#include <string>

namespace coriander {

/**
 * A transaction that the scheduler wants committed. Only one is under way for each unit. An unknown outcome is settled
 * by committing the same transaction again: the table returns the first outcome of its operation id.
 */
struct StoreWrite {
    enum class Kind {
        Job,
        Usage,
    };

    Kind kind = Kind::Job;
    /** Names what is written: the job, or the worker and its incarnation. */
    std::string unit;
    TableTransaction transaction;
};

/** What is known of a write. */
enum class WriteOutcome {
    Committed,
    /** A row was not at the expected version; nothing was written. */
    Conflict,
    /** Not committed for all that is known; the same transaction is to be committed again. */
    Unknown,
};

} // namespace coriander
