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

/** What the intake learns; called on any thread. Precondition: all are set. */
struct IntakeOutputs {
    std::function<void(const JobRecord &row, RowVersion version)> job;
    std::function<void(const Document &document, DocumentVersion version)> document;
    /** Whether this instance owns the data centre, so that job rows are of interest. */
    std::function<bool()> owns;
};

/**
 * The duty that reads: job rows by scan and by hint, and the document in force.
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

    /** The row of the job is new or was changed by a gateway. */
    void hint(JobId job);

private:
    void step();
    void readHinted(std::vector<std::string> keys);
    void scan();
    void takeRow(const TableRow &row);
    void readDocument();
    void readVersion(DocumentVersion version);

    Settings m_settings;
    Store &m_store;
    Clock m_clock;
    IntakeOutputs m_outputs;
    BoundedRing<JobId> m_hints;
    MonotonicTime m_nextScan{};
    MonotonicTime m_nextDocument{};
    DocumentVersion m_version;
    bool m_owned = false;
    std::unique_ptr<DutyThread> m_thread;
};

} // namespace coriander
