#include "corianderscale/PolicyBench/ScenarioFile.h"

#include "corianderscale/PolicyBench/Workload.h"

namespace coriander::policybench {

namespace {

using namespace decision;

constexpr std::int64_t MaximumSeconds = 60LL * 86400;
constexpr std::int64_t MaximumAccelerators = 1024;

MonotonicTime at(std::int64_t seconds)
{
    return MonotonicTime(std::chrono::seconds(seconds));
}

Closeness parseCloseness(const std::string &text)
{
    return text == "worker" ? Closeness::Worker : text == "rack" ? Closeness::Rack : Closeness::None;
}

JobClass parseJobClass(const std::string &text)
{
    return text == "urgent" ? JobClass::Urgent : text == "background" ? JobClass::Background : JobClass::Normal;
}

void readOrganisation(YamlMap &map, Stream &stream)
{
    OrganisationPolicy policy;
    policy.id = OrganisationId(map.requiredName("name"));
    policy.weight = map.integer("weight", 1, 1, 1000);
    policy.quota = Accelerators(map.integer("quota", 0, 0, 1000000));
    map.forEachMap("guarantees", [&policy](YamlMap &entry) {
        Guarantee guarantee;
        guarantee.accelerators = Accelerators(entry.requiredInteger("accelerators", 1, MaximumAccelerators));
        guarantee.closeness = parseCloseness(entry.choice("adjacency", "rack", {"none", "rack", "worker"}));
        guarantee.count = entry.integer("count", 1, 1, 100000);
        policy.guarantees.push_back(guarantee);
        entry.finish();
    });
    stream.organisations.push_back(policy);
    map.finish();
}

void readJobs(YamlMap &map, Stream &stream)
{
    TimedJob job;
    const std::string name = map.requiredName("name");
    JobRequest &request = job.request;
    request.organisation = OrganisationId(map.requiredName("organisation"));
    request.caller = CallerId(map.text("caller", "caller"));
    request.kind = map.text("kind", name);
    request.tasks = map.integer("tasks", 1, 1, 4096);
    request.perTask = {MilliCores(map.integer("millicores", 1000, 0, 1000000)),
                       MemoryMib(map.integer("memory_mib", 1024, 0, 1 << 24)),
                       Accelerators(map.integer("accelerators", 0, 0, MaximumAccelerators))};
    request.closeness = parseCloseness(map.choice("adjacency", "none", {"none", "rack", "worker"}));
    request.jobClass = parseJobClass(map.choice("class", "normal", {"urgent", "normal", "background"}));
    request.canCheckpoint = map.boolean("can_checkpoint", false);
    request.useGuarantee = map.boolean("use_guarantee", false);
    request.declaredRun = std::chrono::seconds(map.integer("declared_s", 0, 0, MaximumSeconds));
    job.run = std::chrono::seconds(map.requiredInteger("run_s", 1, MaximumSeconds));
    job.use = request.perTask;
    job.use.cores = MilliCores(map.integer("used_millicores", request.perTask.cores.count(), 0, 1000000));
    job.use.memory = MemoryMib(map.integer("used_memory_mib", request.perTask.memory.count(), 0, 1 << 24));
    job.failsEverywhere = map.boolean("fails", false);
    const std::int64_t first = map.integer("at_s", 0, 0, MaximumSeconds);
    const std::int64_t count = map.integer("count", 1, 1, 100000);
    const std::int64_t every = map.integer("every_s", 0, 0, MaximumSeconds);
    const std::int64_t deadline = map.integer("deadline_s", 0, 0, MaximumSeconds);
    const std::int64_t cancel = map.integer("cancel_after_s", 0, 0, MaximumSeconds);
    map.finish();
    for (std::int64_t i = 0; i < count; ++i) {
        TimedJob copy = job;
        copy.at = at(first + i * every);
        copy.request.id = JobId(name + "-" + std::to_string(i));
        copy.request.submittedAt = copy.at;
        copy.request.deadline = deadline > 0 ? copy.at + std::chrono::seconds(deadline) : NeverDue;
        copy.cancelAt = cancel > 0 ? copy.at + std::chrono::seconds(cancel) : NeverDue;
        stream.jobs.push_back(std::move(copy));
    }
}

void readChange(YamlMap &map, Stream &stream)
{
    FleetChange change;
    change.at = at(map.requiredInteger("at_s", 0, MaximumSeconds));
    change.worker = WorkerId(map.requiredText("worker"));
    const std::string kind = map.choice("change", "lost", {"lost", "joined", "draining"});
    change.kind = kind == "lost" ? FleetChange::Kind::Lost
        : kind == "joined"       ? FleetChange::Kind::Joined
                                 : FleetChange::Kind::Draining;
    bool known = false;
    for (const WorkerSpec &worker : stream.workers) {
        known = known || worker.id == change.worker;
    }
    if (!known) {
        map.fault("worker", "a worker of the site, such as " + stream.workers.front().id.value());
    }
    map.finish();
    stream.changes.push_back(change);
}

void readMix(YamlMap &map, const Site &site, Stream &stream, std::uint64_t seed)
{
    WorkloadSpec spec;
    spec.prefix = map.requiredName("name");
    spec.load = static_cast<double>(map.requiredInteger("load_percent", 1, 5000)) / 100.0;
    spec.from = at(map.integer("from_s", 0, 0, MaximumSeconds));
    spec.to = at(map.requiredInteger("to_s", 1, MaximumSeconds));
    spec.organisations = map.integer("organisations", site.organisations, 1, 1000);
    spec.callersPerOrganisation = map.integer("callers_each", 5, 1, 1000);
    spec.largestGang = site.largestGang;
    if (spec.to <= spec.from) {
        map.fault("to_s", "a time after from_s");
        return;
    }
    map.finish();
    std::mt19937_64 random(seed);
    addWorkload(stream, site, spec, random);
}

} // namespace

std::optional<ScenarioFile> parseScenarioFile(const std::string &content,
                                              const std::string &file,
                                              const Site &site,
                                              std::uint64_t seed,
                                              std::vector<YamlFault> &faults)
{
    const std::optional<YAML::Node> root = parseYaml(content, file, faults);
    if (!root) {
        return std::nullopt;
    }
    YamlMap map(*root, file, {}, faults);
    ScenarioFile result;
    Stream &stream = result.stream;
    stream.workers = site.workers;
    result.name = map.requiredName("name");
    stream.horizon = at(map.requiredInteger("horizon_s", 1, MaximumSeconds));
    stream.drain = map.boolean("drain", true);
    for (const std::string &worker : map.texts("bad_workers")) {
        stream.badWorkers.insert(WorkerId(worker));
    }
    map.forEachMap("organisations", [&stream](YamlMap &entry) { readOrganisation(entry, stream); });
    map.forEachMap("jobs", [&stream](YamlMap &entry) { readJobs(entry, stream); });
    map.forEachMap("mixes", [&](YamlMap &entry) { readMix(entry, site, stream, seed); });
    map.forEachMap("fleet", [&stream](YamlMap &entry) { readChange(entry, stream); });
    map.finish();
    sortJobs(stream);
    if (!faults.empty()) {
        return std::nullopt;
    }
    return result;
}

} // namespace coriander::policybench
