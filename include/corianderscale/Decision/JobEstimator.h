#pragma once

#include "corianderscale/Decision/Job.h"

#include <array>
#include <string>
#include <unordered_map>

namespace coriander::decision {

/** Run time assumed when nothing is declared or learned: most jobs run for hours. */
inline constexpr Duration DefaultRunTime = std::chrono::hours(1);

/**
 * Learns run times and sizes per caller and kind, because declared ones are often wrong by a large factor.
 *
 * Thread safety: not thread safe.
 */
class JobEstimator
{
public:
    void recordRun(const JobRequest &job, Duration run);
    void recordUse(const JobRequest &job, const Resources &used);
    /** Records that the job was stopped for exceeding its size; later jobs of the kind get at least @p needed. */
    void recordOverSize(const JobRequest &job, const Resources &needed);

    /**
     * Median of the last RunsKept runs of the kind; without runs, the declared run time corrected by the caller's usual
     * error, or DefaultRunTime when none is declared.
     */
    Duration expectedRun(const JobRequest &job) const;
    /** Size of one task: cores and memory as learned with a margin; accelerators always as declared. */
    Resources expectedSize(const JobRequest &job) const;

private:
    static constexpr std::size_t RunsKept = 15;
    struct Kind {
        std::array<double, RunsKept> runs{};
        std::size_t runCount = 0;
        std::int64_t useCount = 0;
        double peakCores = 0;
        double peakMemory = 0;
        Resources floor;
    };
    struct Caller {
        /** Moving average of ln(real run time / declared run time). */
        double meanLogError = 0;
        std::int64_t samples = 0;
    };

    std::unordered_map<std::string, Kind> m_kinds;
    std::unordered_map<std::string, Caller> m_callers;
};

} // namespace coriander::decision
