#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Scheduler/Snapshot.h"
#include "corianderscale/Scheduler/StoreWrite.h"
#include "corianderscale/Transport/BoundedRing.h"
#include "corianderscale/Transport/DutyThread.h"

#include <functional>
#include <memory>

namespace coriander {

/** Callbacks for the results of writes; called on any thread. Precondition: all are set. */
struct RecorderOutputs {
    std::function<void(const StoreWrite &write, WriteOutcome outcome, RowVersion version)> written;
};

/**
 * Thread that writes to the store: conditional writes of job and usage rows, and snapshots.
 *
 * Thread safety: write() and keep() from any thread.
 */
class Recorder
{
public:
    Recorder(Store &store, Clock clock, RecorderOutputs outputs);
    ~Recorder();

    void start();
    void stop();

    /** Queues a write; its outcome is reported exactly once. */
    void write(StoreWrite write);

    /**
     * Queues a snapshot, which is put into the object store and then named in the data centre's snapshot row. When
     * several are queued only the newest is written.
     */
    void storeSnapshot(Snapshot snapshot);

private:
    void step();
    void commit(StoreWrite write);
    void putSnapshot(const Snapshot &snapshot);
    void writeSnapshotRow(const Snapshot &snapshot, RowVersion version);

    Store &m_store;
    Clock m_clock;
    RecorderOutputs m_outputs;
    BoundedRing<StoreWrite> m_writes;
    BoundedRing<Snapshot> m_snapshots;
    std::unique_ptr<DutyThread> m_thread;
};

} // namespace coriander
