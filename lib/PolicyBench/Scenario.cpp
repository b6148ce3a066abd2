#include "corianderscale/PolicyBench/Scenario.h"

#include "corianderscale/PolicyBench/Workload.h"

#include <algorithm>
#include <map>
#include <optional>

namespace coriander::policybench {

namespace {

using namespace decision;
using std::chrono::hours;
using std::chrono::minutes;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

MonotonicTime at(Duration duration)
{
    return MonotonicTime(duration);
}

StreamResult run(const Stream &stream, const std::string &policy, bool measureCalls = false)
{
    return runStream(stream, *makePolicy(policy), measureCalls);
}

Stream emptyStream(const Site &site, Duration horizon)
{
    Stream stream;
    stream.workers = site.workers;
    stream.horizon = at(horizon);
    for (std::int64_t i = 0; i < site.organisations; ++i) {
        OrganisationPolicy organisation;
        organisation.id = OrganisationId("org-" + std::to_string(i));
        stream.organisations.push_back(organisation);
    }
    return stream;
}

/** Guarantees every organisation about the same number of whole workers, in total @p share of the fleet. */
void guaranteeWorkers(Stream &stream, const Site &site, double share)
{
    const auto workers = static_cast<std::int64_t>(share * static_cast<double>(site.accelerators) / 8.0);
    const std::int64_t perOrganisation = workers / site.organisations;
    const std::int64_t remainder = workers % site.organisations;
    for (std::int64_t i = 0; i < site.organisations; ++i) {
        const std::int64_t count = perOrganisation + (i < remainder ? 1 : 0);
        OrganisationPolicy &organisation = stream.organisations[static_cast<std::size_t>(i)];
        if (count > 0) {
            organisation.guarantees = {{DataCentreId("dc"), Accelerators(8), Closeness::Worker, count}};
        }
        organisation.quota = Accelerators(0);
    }
}

WorkloadSpec mixedWorkload(const Site &site, double load, Duration length)
{
    WorkloadSpec spec;
    spec.load = load;
    spec.to = at(length);
    spec.organisations = site.organisations;
    spec.callersPerOrganisation = site.organisations > 100 ? 1 : 5;
    spec.largestGang = site.largestGang;
    return spec;
}

/** Halves the length for the design size, which has many more jobs. */
Duration lengthFor(const Site &site, Duration usual)
{
    return site.organisations > 100 ? usual / 2 : usual;
}

Metrics runMixed(const Site &site, const std::string &policy, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const Duration length = lengthFor(site, hours(24));
    Stream stream = emptyStream(site, length);
    // quota-best-fit keeps each organisation within its guarantees; the other policies may lend them.
    guaranteeWorkers(stream, site, 1.0);
    addWorkload(stream, site, mixedWorkload(site, 0.85, length), random);
    sortJobs(stream);
    return commonMetrics(run(stream, policy));
}

std::vector<double> slowdownsOf(const StreamResult &result, const std::string &prefix)
{
    std::vector<double> values;
    for (const JobOutcome &outcome : result.outcomes) {
        if (!outcome.job->request.id.value().starts_with(prefix) || !outcome.finished) {
            continue;
        }
        values.push_back(seconds(outcome.ended - outcome.job->at) / seconds(outcome.job->run));
    }
    return values;
}

Metrics runSmallCallers(const Site &site, const std::string &policy, std::uint64_t seed)
{
    // Each of ten small callers in two organisations requests 3% of the fleet, and one caller 20 times as much.
    constexpr double SmallLoad = 0.30;
    constexpr double LargeLoad = 0.60;
    std::vector<double> slowdowns;
    for (const bool withLarge : {false, true}) {
        std::mt19937_64 random(seed);
        const Duration length = lengthFor(site, hours(24));
        Stream stream = emptyStream(site, length);
        WorkloadSpec small = mixedWorkload(site, SmallLoad, length);
        small.prefix = "small";
        small.organisations = 2;
        small.callersPerOrganisation = 5;
        // Jobs of a caller that requests 3% of the fleet are no larger than one worker.
        small.largestGang = 8;
        small.urgentShare = 0;
        small.backgroundShare = 0;
        addWorkload(stream, site, small, random);
        if (withLarge) {
            WorkloadSpec large = mixedWorkload(site, LargeLoad, length);
            large.prefix = "large";
            large.organisations = 1;
            large.callersPerOrganisation = 1;
            large.urgentShare = 0;
            large.backgroundShare = 0;
            addWorkload(stream, site, large, random);
        }
        sortJobs(stream);
        slowdowns.push_back(percentile(slowdownsOf(run(stream, policy), "small"), 0.99));
    }
    return {{"p99-slowdown-without", slowdowns[0]},
            {"p99-slowdown-with", slowdowns[1]},
            {"p99-slowdown-ratio", slowdowns[1] / slowdowns[0]}};
}

Metrics runFragmentation(const Site &site, const std::string &policy, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const Duration length = lengthFor(site, hours(24));
    Stream stream = emptyStream(site, length);
    // A steady load below saturation: in a full fleet the few free accelerators are fragmented under any policy.
    WorkloadSpec spec = mixedWorkload(site, 0.7, length);
    spec.workingHoursFactor = 1;
    addWorkload(stream, site, spec, random);
    sortJobs(stream);
    stream.drain = false;
    const StreamResult result = run(stream, policy);
    return {{"unusable-share", result.unusableByWorker}, {"unusable-share-by-rack", result.unusableByRack}};
}

double finishedWork(const StreamResult &result, MonotonicTime horizon)
{
    double work = 0;
    for (const JobOutcome &outcome : result.outcomes) {
        if (outcome.job->measured && outcome.finished && outcome.ended <= horizon) {
            work += static_cast<double>(outcome.job->request.tasks * outcome.job->request.perTask.accelerators.count())
                * seconds(outcome.job->run);
        }
    }
    return work;
}

Metrics runFlood(const Site &site, const std::string &policy, std::uint64_t seed)
{
    const Duration length = lengthFor(site, hours(12));
    std::vector<double> work;
    for (const bool withFlood : {false, true}) {
        std::mt19937_64 random(seed);
        Stream stream = emptyStream(site, length);
        stream.drain = false;
        WorkloadSpec others = mixedWorkload(site, 0.6, length);
        others.longestMedianRun = 3600;
        addWorkload(stream, site, others, random);
        if (withFlood) {
            // Jobs of one kind, from four callers, request 50 times the fleet's accelerators within 15 minutes.
            const std::int64_t jobs = 50 * site.accelerators / 8;
            std::uniform_int_distribution<std::int64_t> arrival(0, seconds(minutes(15)));
            for (std::int64_t i = 0; i < jobs; ++i) {
                TimedJob job;
                job.at = at(length / 6) + std::chrono::seconds(arrival(random));
                job.run = minutes(60);
                job.request.id = JobId("flood-" + std::to_string(i));
                job.request.organisation = OrganisationId("org-flood");
                job.request.caller = CallerId("flood-" + std::to_string(i % 4));
                job.request.kind = "flood";
                job.request.tasks = 8;
                job.request.perTask = {MilliCores(3000), MemoryMib(6144), Accelerators(1)};
                job.request.closeness = Closeness::Rack;
                job.request.declaredRun = minutes(6);
                job.request.canCheckpoint = i % 2 == 0;
                job.use = job.request.perTask;
                job.measured = false;
                stream.jobs.push_back(job);
            }
        }
        sortJobs(stream);
        work.push_back(finishedWork(run(stream, policy), stream.horizon));
    }
    return {{"work-kept", work[1] / work[0]}};
}

/** Adds a claim of the organisation's whole guarantee at @p when: one gang of eight per guaranteed worker. */
void addClaim(Stream &stream, std::int64_t organisation, MonotonicTime when, std::int64_t round)
{
    const OrganisationPolicy &policy = stream.organisations[static_cast<std::size_t>(organisation)];
    for (const Guarantee &guarantee : policy.guarantees) {
        for (std::int64_t i = 0; i < guarantee.count; ++i) {
            TimedJob job;
            job.at = when;
            job.run = minutes(30);
            job.request.id = JobId("claim-" + std::to_string(round) + "-" + std::to_string(i));
            job.request.organisation = policy.id;
            job.request.caller = CallerId("claimant");
            job.request.kind = "claim";
            job.request.tasks = 8;
            job.request.perTask = {MilliCores(3000), MemoryMib(6144), Accelerators(1)};
            job.request.closeness = Closeness::Worker;
            job.request.useGuarantee = true;
            job.request.canCheckpoint = true;
            job.use = job.request.perTask;
            job.measured = false;
            stream.jobs.push_back(job);
        }
    }
}

Stream claimStream(const Site &site, std::uint64_t seed, Duration length, double load, Duration interval)
{
    std::mt19937_64 random(seed);
    Stream stream = emptyStream(site, length);
    guaranteeWorkers(stream, site, 0.8);
    addWorkload(stream, site, mixedWorkload(site, load, length), random);
    std::int64_t round = 0;
    for (Duration when = hours(2); when + hours(1) < length; when += interval) {
        addClaim(stream, round % site.organisations, at(when), round);
        ++round;
    }
    sortJobs(stream);
    return stream;
}

Metrics runClaims(const Site &site, const std::string &policy, std::uint64_t seed)
{
    Stream stream = claimStream(site, seed, lengthFor(site, hours(12)), 1.0, minutes(40));
    stream.drain = false;
    const StreamResult result = run(stream, policy);
    double longest = 0;
    for (const JobOutcome &outcome : result.outcomes) {
        if (outcome.job->request.useGuarantee) {
            const MonotonicTime started = std::min(outcome.firstStart, stream.horizon);
            longest = std::max(longest, seconds(started - outcome.job->at));
        }
    }
    return {{"longest-claim-s", longest}};
}

Metrics runLosses(const Site &site, const std::string &policy, std::uint64_t seed)
{
    const Duration length = lengthFor(site, hours(24));
    Stream stream = claimStream(site, seed, length, 0.85, hours(4));
    // Four workers fail per day (section 3 of the design); each comes back after ten minutes.
    std::mt19937_64 random(seed + 1);
    std::uniform_int_distribution<std::size_t> victim(0, stream.workers.size() - 1);
    for (int i = 0; i < 4; ++i) {
        const MonotonicTime when = at(length / 5 * (i + 1));
        const WorkerId worker = stream.workers[victim(random)].id;
        stream.changes.push_back({when, worker, FleetChange::Kind::Lost});
        stream.changes.push_back({when + minutes(10), worker, FleetChange::Kind::Joined});
    }
    const StreamResult result = run(stream, policy);
    return {{"lost-share", result.lost / std::max(result.useful + result.lost, 1.0)},
            {"preemptions", static_cast<double>(result.preemptions)}};
}

Metrics runLending(const Site &site, const std::string &policy, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const Duration length = lengthFor(site, hours(12));
    Stream stream = emptyStream(site, length);
    guaranteeWorkers(stream, site, 1.0);
    // Half of the organisations request more than the whole fleet; the others request nothing.
    WorkloadSpec spec = mixedWorkload(site, 1.2, length);
    spec.organisations = std::max<std::int64_t>(site.organisations / 2, 1);
    spec.useGuarantee = true;
    addWorkload(stream, site, spec, random);
    sortJobs(stream);
    stream.drain = false;
    const StreamResult result = run(stream, policy);
    return {{"utilisation", result.used / std::max(result.capacity, 1.0)}};
}

Metrics runDecisionTime(const Site &site, const std::string &policy, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const Duration length = hours(3);
    Stream stream = emptyStream(site, length);
    guaranteeWorkers(stream, site, 0.5);
    addWorkload(stream, site, mixedWorkload(site, 1.0, length), random);
    sortJobs(stream);
    stream.drain = false;
    const StreamResult result = run(stream, policy, true);
    return {{"p50-us", percentile(result.callNanoseconds, 0.5) / 1000.0},
            {"p99-us", percentile(result.callNanoseconds, 0.99) / 1000.0}};
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index
        = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

Metrics commonMetrics(const StreamResult &result)
{
    double completion = 0;
    double finished = 0;
    double refused = 0;
    double unfinished = 0;
    for (const JobOutcome &outcome : result.outcomes) {
        if (outcome.finished) {
            completion += seconds(outcome.ended - outcome.job->at);
            finished += 1;
        }
        refused += outcome.refused ? 1 : 0;
        unfinished += outcome.ended == NeverDue ? 1 : 0;
    }
    return {{"mean-completion-s", completion / std::max(finished, 1.0)},
            {"p99-slowdown", percentile(slowdownsOf(result, ""), 0.99)},
            {"finished", finished},
            {"refused", refused},
            {"unfinished", unfinished},
            {"utilisation", result.used / std::max(result.capacity, 1.0)},
            {"lost-share", result.lost / std::max(result.useful + result.lost, 1.0)}};
}

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> Names
        = {"corianderscale", "fifo-first-fit", "quota-best-fit", "fifo-backfill"};
    return Names;
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> All = {
        {"mixed", "mixed load at 85%, declared run times wrong by up to 10x", runMixed},
        {"small-callers", "small callers beside a caller that requests 20 times as much", runSmallCallers},
        {"fragmentation", "free accelerators that no adjacent gang of eight can use", runFragmentation},
        {"flood", "a flood of jobs for 50 times the fleet beside ordinary work", runFlood},
        {"claims", "organisations claim their whole guarantees while everything is lent", runClaims},
        {"losses", "claims, urgent work and failing workers", runLosses},
        {"lending", "half of the guarantees are claimed, the other half idle", runLending},
        {"decision-time", "wall time of one decision", runDecisionTime},
    };
    return All;
}

const std::vector<Target> &targets()
{
    static const std::vector<Target> All = {
        {"mixed", "mean-completion-s", "fifo-first-fit", true, 0.6},
        {"mixed", "mean-completion-s", "quota-best-fit", true, 0.7},
        {"small-callers", "p99-slowdown-ratio", "", true, 2.0},
        {"fragmentation", "unusable-share", "fifo-first-fit", true, 0.4},
        {"flood", "work-kept", "", false, 0.95},
        {"claims", "longest-claim-s", "", true, 30.0},
        {"losses", "lost-share", "", true, 0.03},
        {"lending", "utilisation", "quota-best-fit", false, 1.5},
        {"decision-time", "p99-us", "", true, 1000.0},
    };
    return All;
}

} // namespace coriander::policybench
