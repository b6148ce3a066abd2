#include "corianderscale/PolicyBench/Stream.h"

namespace coriander::policybench {

namespace {

using decision::WorkerSpec;

struct Shape {
    std::int64_t workers = 0;
    std::int64_t perRack = 0;
    std::int64_t cores = 0;
    std::int64_t memoryGib = 0;
    std::int64_t accelerators = 0;
};

void addWorkers(Site &site, const Shape &shape, const std::string &prefix)
{
    for (std::int64_t i = 0; i < shape.workers; ++i) {
        WorkerSpec worker;
        worker.id = WorkerId(prefix + std::to_string(i));
        worker.rack = RackId(prefix + "rack" + std::to_string(i / shape.perRack));
        worker.position = i % shape.perRack;
        worker.capacity
            = {MilliCores(shape.cores * 1000), MemoryMib(shape.memoryGib * 1024), Accelerators(shape.accelerators)};
        site.workers.push_back(worker);
        site.accelerators += shape.accelerators;
    }
}

} // namespace

std::optional<Site> makeSite(std::string_view name)
{
    Site site;
    site.name = name;
    if (name == "trinacria") {
        addWorkers(site, {50, 6, 32, 64, 8}, "w");
        return site;
    }
    if (name == "saltmist") {
        addWorkers(site, {50, 8, 64, 128, 8}, "w");
        return site;
    }
    if (name == "target") {
        // 1,200 accelerators on 150 of the 700 workers; the others have processors only.
        addWorkers(site, {150, 8, 64, 256, 8}, "a");
        addWorkers(site, {550, 16, 64, 256, 0}, "c");
        site.organisations = 250;
        site.largestGang = 64;
        return site;
    }
    return std::nullopt;
}

} // namespace coriander::policybench
