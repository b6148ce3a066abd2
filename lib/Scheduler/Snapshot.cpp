#include "corianderscale/Scheduler/Snapshot.h"

#include <fmt/format.h>

#include <tuple>

namespace coriander {

namespace {

SnapshotGang readGang(JsonReader &reader, const std::vector<SnapshotWorker> &workers)
{
    SnapshotGang gang;
    gang.job = reader.requiredId<JobId>("job");
    gang.attempt = reader.requiredInteger("attempt");
    reader.forEachText("workers", [&](const std::string &text) {
        std::size_t index = workers.size();
        try {
            index = std::stoul(text);
        } catch (const std::exception &) {
            reader.fault("workers", "expected indices into the list of workers");
        }
        if (index >= workers.size()) {
            reader.fault("workers", "expected indices into the list of workers");
            return;
        }
        gang.workers.push_back(workers[index].info.id);
    });
    return gang;
}

} // namespace

Json Snapshot::toJson() const
{
    Json workerList = Json::array();
    std::map<WorkerId, std::size_t> positions;
    for (const SnapshotWorker &worker : workers) {
        positions.emplace(worker.info.id, workerList.size());
        Json item = worker.info.toJson();
        item["address"] = worker.address;
        workerList.push_back(std::move(item));
    }
    Json gangList = Json::array();
    for (const SnapshotGang &gang : gangs) {
        Json workerIndices = Json::array();
        for (const WorkerId &worker : gang.workers) {
            workerIndices.push_back(std::to_string(positions.at(worker)));
        }
        gangList.push_back(
            {{"job", gang.job.value()}, {"attempt", gang.attempt}, {"workers", std::move(workerIndices)}});
    }
    return {{"dataCentre", dataCentre.value()},
            {"owner", owner.value()},
            {"epoch", epoch.count()},
            {"sequence", sequence},
            {"takenUnixMs", takenUnixMs},
            {"workers", std::move(workerList)},
            {"gangs", std::move(gangList)}};
}

Snapshot Snapshot::fromJson(JsonReader &reader)
{
    Snapshot snapshot;
    snapshot.dataCentre = reader.requiredId<DataCentreId>("dataCentre");
    snapshot.owner = reader.requiredId<InstanceId>("owner");
    snapshot.epoch = reader.requiredQuantity<Epoch>("epoch");
    snapshot.sequence = reader.requiredInteger("sequence");
    snapshot.takenUnixMs = reader.requiredInteger("takenUnixMs");
    reader.forEachObject("workers", [&snapshot](JsonReader &item) {
        SnapshotWorker worker;
        worker.info = WorkerInfo::fromJson(item);
        worker.address = item.requiredText("address");
        snapshot.workers.push_back(std::move(worker));
    });
    reader.forEachObject("gangs",
                         [&snapshot](JsonReader &item) { snapshot.gangs.push_back(readGang(item, snapshot.workers)); });
    return snapshot;
}

bool Snapshot::isNewerThan(const Snapshot &other) const
{
    return std::tie(epoch, sequence) > std::tie(other.epoch, other.sequence);
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(snapshot.toJson());
    return {bytes.begin(), bytes.end()};
}

std::optional<Snapshot> decodeSnapshot(const std::string &bytes, ProtocolError &error)
{
    const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (json.is_discarded()) {
        error = {ProtocolCode::Malformed, "the snapshot is not valid CBOR"};
        return std::nullopt;
    }
    return decodeJson<Snapshot>(json, error);
}

std::string snapshotObjectKey(const Snapshot &snapshot)
{
    return fmt::format(
        "snapshots/{}/{:010}-{:010}", snapshot.dataCentre.value(), snapshot.epoch.count(), snapshot.sequence);
}

std::string snapshotRowKey(const DataCentreId &dataCentre)
{
    return "snapshot/" + dataCentre.value();
}

} // namespace coriander
