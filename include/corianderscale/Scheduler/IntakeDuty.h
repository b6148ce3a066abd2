#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Protocol/Records.h"
#include "corianderscale/State/Document.h"
#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/DutyThread.h"

#include <functional>
#include <memory>
#include <string>

namespace coriander {

/** Callbacks for the rows and documents read; called on any thread. Precondition: all are set. */
struct IntakeOutputs {
    std::function<void(const JobRecord &row, RowVersion version)> job;
    std::function<void(const Document &document, DocumentVersion version)> document;
    /** Whether this instance owns the data centre; job rows are scanned only then. */
    std::function<bool()> owns;
};

/**
 * Thread that reads from the store: job rows, by periodic scan and by job hint, and the configuration document in
 * force.
 *
 * Thread safety: hint() from any thread.
 */
class IntakeDuty
{
public:
    struct Settings {
        DataCentreId dataCentre;
        std::string environment;
        Duration scanInterval{};
    };

    IntakeDuty(Settings settings, Store &store, Clock clock, IntakeOutputs outputs);
    ~IntakeDuty();

    void start();
    void stop();

    /** Queues a read of the job's row, which is new or was changed by a gateway. */
    void hint(JobId job);

private:
    void step();
    void readHinted(std::vector<std::string> keys);
    void scan();
    void handleRow(const TableRow &row);
    void readDocument();
    void readVersion(DocumentVersion version);

    Settings m_settings;
    Store &m_store;
    Clock m_clock;
    IntakeOutputs m_outputs;
    BoundedRing<JobId> m_hints;
    MonotonicTime m_nextScan{};
    MonotonicTime m_nextDocument{};
    DocumentVersion m_documentVersion;
    bool m_ownedAtLastStep = false;
    std::unique_ptr<DutyThread> m_thread;
};

} // namespace coriander
