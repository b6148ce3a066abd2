#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Protocol/Records.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** The accepted document of an environment. */
struct AcceptedDocument {
    /** Version 0 when the environment has no document. */
    DocumentHead head;
    std::string text;
};

/** Why a document was not accepted. */
struct AcceptFailure {
    StateError error;
    /** For a conflict: the version that was accepted instead. */
    DocumentHead acceptedHead;
};

/**
 * Reads and changes the accepted documents in the rows `config/<env>/head`, `config/<env>/v/<n>` and, for the history,
 * `config/<env>/log/<n>`.
 *
 * Thread safety: any thread except those on which the store runs its completions, because the methods block until the
 * store has answered.
 */
class DocumentLedger
{
public:
    DocumentLedger(Store &store, Clock clock);

    /** Returns the accepted document: version 0 for an empty environment, no value and an error on failure. */
    std::optional<AcceptedDocument> read(const std::string &environment, MonotonicTime deadline, StateError &error);

    /**
     * Accepts a validated document as the version after @p base, if @p base is still the version in the table. The call
     * is idempotent: a text that is already the accepted one succeeds and creates no new version.
     */
    std::optional<DocumentHead> accept(const std::string &environment,
                                       const std::string &text,
                                       DocumentVersion base,
                                       const std::string &operatorName,
                                       MonotonicTime deadline,
                                       AcceptFailure &failure);

    /** Returns the heads of all versions, oldest first. */
    std::optional<std::vector<DocumentHead>> history(const std::string &environment,
                                                     MonotonicTime deadline,
                                                     StateError &error);

private:
    struct HeadRow {
        DocumentHead head;
        RowVersion version;
    };

    std::optional<HeadRow> readHead(const std::string &environment, MonotonicTime deadline, StateError &error);
    std::optional<DocumentHead> resolveOutcome(const std::string &environment,
                                               const DocumentHead &written,
                                               bool isConflict,
                                               MonotonicTime deadline,
                                               AcceptFailure &failure);

    Store &m_store;
    Clock m_clock;
};

} // namespace coriander
