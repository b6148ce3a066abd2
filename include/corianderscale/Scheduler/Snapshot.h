#pragma once

#include "corianderscale/Protocol/WorkerMessages.h"

#include <map>
#include <string>
#include <vector>

namespace coriander {

/** A worker in a snapshot. */
struct SnapshotWorker {
    WorkerInfo info;
    /** Base address of its HTTP interface. */
    std::string address;
};

/** A gang that was running on all its workers when the snapshot was taken. */
struct SnapshotGang {
    JobId job;
    std::int64_t attempt = 0;
    /** Element i is the worker of task i. */
    std::vector<WorkerId> workers;
};

/**
 * The owner's placements at one time, stored in the object store and held by the peers. A new owner learns the workers
 * from it, and any scheduler of the data centre can renew leases from it while the store is unavailable.
 */
struct Snapshot {
    DataCentreId dataCentre;
    InstanceId owner;
    Epoch epoch;
    /** Incremented with each snapshot of the epoch. */
    std::int64_t sequence = 0;
    std::int64_t takenUnixMs = 0;
    std::vector<SnapshotWorker> workers;
    /** Gangs whose leases are to be renewed. */
    std::vector<SnapshotGang> gangs;

    /** Gangs refer to workers by their index in `workers`, which keeps the message small. */
    Json toJson() const;
    static Snapshot fromJson(JsonReader &reader);

    /** Whether this one replaces @p other. */
    bool isNewerThan(const Snapshot &other) const;
};

/** CBOR form for peers and the object store. */
std::string encodeSnapshot(const Snapshot &snapshot);
std::optional<Snapshot> decodeSnapshot(const std::string &bytes, ProtocolError &error);

/** Key of a snapshot in the object store. */
std::string snapshotObjectKey(const Snapshot &snapshot);

/** Key of the table row that names the object of the newest snapshot. */
std::string snapshotRowKey(const DataCentreId &dataCentre);

} // namespace coriander
