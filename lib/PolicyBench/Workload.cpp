#include "corianderscale/PolicyBench/Workload.h"

#include <algorithm>
#include <cmath>

namespace coriander::policybench {

namespace {

using decision::Closeness;
using decision::JobClass;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

/** A kind of job; jobs of one kind have similar run times and the same shape. */
struct Kind {
    std::string name;
    double medianRun = 0;
    /** Factor by which declared run times of the kind are usually wrong. */
    double bias = 1;
    std::int64_t tasks = 1;
    std::int64_t acceleratorsPerTask = 1;
    Closeness closeness = Closeness::None;
    JobClass jobClass = JobClass::Normal;
    double usedCoresShare = 1;
};

struct Caller {
    std::string organisation;
    std::string name;
    std::vector<Kind> kinds;
};

class Generator
{
public:
    Generator(const Site &site, const WorkloadSpec &spec, std::mt19937_64 &random)
        : m_site(site)
        , m_spec(spec)
        , m_random(random)
    {
    }

    std::vector<Caller> callers()
    {
        std::vector<Caller> result;
        for (std::int64_t o = 0; o < m_spec.organisations; ++o) {
            for (std::int64_t c = 0; c < m_spec.callersPerOrganisation; ++c) {
                Caller caller{"org-" + std::to_string(o), m_spec.prefix + "-caller-" + std::to_string(c), {}};
                constexpr int KindsPerCaller = 4;
                for (int k = 0; k < KindsPerCaller; ++k) {
                    caller.kinds.push_back(kind("kind-" + std::to_string(k)));
                }
                result.push_back(std::move(caller));
            }
        }
        return result;
    }

    TimedJob job(const Caller &caller, const Kind &kind, MonotonicTime at)
    {
        TimedJob job;
        job.at = at;
        decision::JobRequest &request = job.request;
        request.id = JobId(m_spec.prefix + "-" + std::to_string(m_next++));
        request.organisation = OrganisationId(caller.organisation);
        request.caller = CallerId(caller.name);
        request.kind = kind.name;
        request.tasks = kind.tasks;
        const std::int64_t accelerators = kind.acceleratorsPerTask;
        request.perTask = {MilliCores(3000 * accelerators), MemoryMib(6144 * accelerators), Accelerators(accelerators)};
        request.closeness = kind.closeness;
        request.jobClass = kind.jobClass;
        request.canCheckpoint = uniform(0, 1) < 0.7;
        request.useGuarantee = m_spec.useGuarantee;
        request.submittedAt = at;
        const double run = std::max(kind.medianRun * std::exp(0.5 * normal()), 10.0);
        job.run = fromSeconds(run);
        const double noise = std::pow(m_spec.maximumDeclaredError, uniform(-0.3, 0.3));
        const double error
            = std::clamp(kind.bias * noise, 1.0 / m_spec.maximumDeclaredError, m_spec.maximumDeclaredError);
        request.declaredRun = fromSeconds(run * error);
        job.use = request.perTask;
        job.use.cores
            = MilliCores(static_cast<std::int64_t>(3000.0 * static_cast<double>(accelerators) * kind.usedCoresShare));
        return job;
    }

    double uniform(double minimum, double maximum)
    {
        return std::uniform_real_distribution<double>(minimum, maximum)(m_random);
    }

    /** An arrival time in seconds; more jobs arrive in the working hours, from 02:00 to 12:00 of each day. */
    double randomArrival(double span)
    {
        while (true) {
            const double time = uniform(0, span);
            const double hour = std::fmod(time / 3600.0, 24.0);
            const bool working = hour >= 2 && hour < 12;
            if (working || uniform(0, 1) < 1.0 / m_spec.workingHoursFactor) {
                return time;
            }
        }
    }

    std::size_t randomIndex(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_random);
    }

private:
    double normal()
    {
        return std::normal_distribution<double>()(m_random);
    }

    Kind kind(const std::string &name)
    {
        Kind kind;
        kind.name = name;
        kind.medianRun = std::exp(uniform(std::log(m_spec.shortestMedianRun), std::log(m_spec.longestMedianRun)));
        kind.bias = std::pow(m_spec.maximumDeclaredError, uniform(-0.7, 0.7));
        kind.usedCoresShare = uniform(0.3, 1.0);
        const double size = uniform(0, 1);
        if (size < 0.45) {
            kind.tasks = 1;
        } else if (size < 0.6) {
            kind.tasks = 1;
            kind.acceleratorsPerTask = 2;
        } else if (size < 0.75) {
            kind.tasks = 4;
            kind.closeness = Closeness::Rack;
        } else if (size < 0.93) {
            kind.tasks = 8;
            kind.closeness = Closeness::Worker;
        } else {
            kind.tasks = std::min<std::int64_t>(size < 0.98 ? 16 : 64, m_spec.largestGang);
            kind.closeness = Closeness::Rack;
        }
        const double urgency = uniform(0, 1);
        if (urgency < m_spec.urgentShare) {
            // A person waits for urgent jobs, so they are short and use at most eight accelerators.
            constexpr double LongestUrgentRun = 300;
            kind.jobClass = JobClass::Urgent;
            kind.medianRun = std::exp(uniform(std::log(m_spec.shortestMedianRun), std::log(LongestUrgentRun)));
            kind.tasks = std::min<std::int64_t>(kind.tasks, 8);
        } else if (urgency > 1 - m_spec.backgroundShare) {
            kind.jobClass = JobClass::Background;
        }
        return kind;
    }

    const Site &m_site;
    const WorkloadSpec &m_spec;
    std::mt19937_64 &m_random;
    std::int64_t m_next = 0;
};

} // namespace

void addWorkload(Stream &stream, const Site &site, const WorkloadSpec &spec, std::mt19937_64 &random)
{
    Generator generator(site, spec, random);
    const std::vector<Caller> callers = generator.callers();
    const double span = seconds(spec.to - spec.from);
    const double wanted = spec.load * static_cast<double>(site.accelerators) * span;
    double offered = 0;
    while (offered < wanted) {
        const Caller &caller = callers[generator.randomIndex(callers.size())];
        const Kind &kind = caller.kinds[generator.randomIndex(caller.kinds.size())];
        // Jobs of one caller and kind arrive in bursts.
        const std::size_t burst = 1 + generator.randomIndex(6);
        const MonotonicTime start = spec.from + fromSeconds(generator.randomArrival(span));
        for (std::size_t i = 0; i < burst && offered < wanted; ++i) {
            TimedJob job = generator.job(caller, kind, start + fromSeconds(generator.uniform(0, 30)));
            const std::int64_t accelerators = job.request.tasks * job.request.perTask.accelerators.count();
            offered += static_cast<double>(accelerators) * seconds(job.run);
            stream.jobs.push_back(std::move(job));
        }
    }
}

void sortJobs(Stream &stream)
{
    std::stable_sort(stream.jobs.begin(), stream.jobs.end(), [](const TimedJob &left, const TimedJob &right) {
        return left.at < right.at;
    });
}

} // namespace coriander::policybench
