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
    /** For a conflict: the version that the environment has instead. */
    DocumentHead winner;
};

/**
 * Reads and changes the accepted documents: rows `config/<env>/head`, `config/<env>/v/<n>` and, for the history,
 * `config/<env>/log/<n>`.
 *
 * Thread safety: any thread on which the store does not complete its calls; the calls wait for the store.
 */
class DocumentLedger
{
public:
    DocumentLedger(Store &store, Clock clock);

    /** The accepted document; version 0 for an empty environment, no value when the store does not answer. */
    std::optional<AcceptedDocument> read(const std::string &environment, MonotonicTime deadline, StateError &error);

    /**
     * Accepts a checked document as the version after @p base, if @p base is still the version in the table. The text
     * that is already accepted is accepted again without a new version, so that a repeated call is harmless.
     */
    std::optional<DocumentHead> accept(const std::string &environment,
                                       const std::string &text,
                                       DocumentVersion base,
                                       const std::string &operatorName,
                                       MonotonicTime deadline,
                                       AcceptFailure &failure);

    /** All versions, oldest first. */
    std::optional<std::vector<DocumentHead>> history(const std::string &environment,
                                                     MonotonicTime deadline,
                                                     StateError &error);

private:
    struct HeadRow {
        DocumentHead head;
        RowVersion version;
    };

    std::optional<HeadRow> readHead(const std::string &environment, MonotonicTime deadline, StateError &error);
    std::optional<DocumentHead> settle(const std::string &environment,
                                       const DocumentHead &written,
                                       bool refused,
                                       MonotonicTime deadline,
                                       AcceptFailure &failure);

    Store &m_store;
    Clock m_clock;
};

} // namespace coriander
