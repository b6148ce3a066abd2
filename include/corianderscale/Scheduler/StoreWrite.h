#pragma once

#include "corianderscale/Protocol/TableMessages.h"

#include <string>

namespace coriander {

/**
 * A transaction that the scheduler wants to commit. At most one is in flight for each subject. After an unknown outcome
 * the same transaction is committed again, which is idempotent: the table returns the first outcome of the operation
 * id.
 */
struct StoreWrite {
    enum class Kind {
        Job,
        Usage,
    };

    Kind kind = Kind::Job;
    /** Identifies what is written: the job id, or `<worker>/<incarnation>`. */
    std::string subject;
    TableTransaction transaction;
};

/** Outcome of a write as far as it is known. */
enum class WriteOutcome {
    Committed,
    /** A row was not at the expected version; nothing was written. */
    Conflict,
    /** It is not known whether the write was committed; the same transaction must be committed again. */
    Unknown,
};

} // namespace coriander
