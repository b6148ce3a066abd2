#include "corianderscale/Decision/FailureWave.h"

#include <algorithm>
#include <set>

namespace coriander::decision {

namespace {

/** A run that fails later than this may have failed through its task. */
constexpr Duration EarlyFailure = std::chrono::milliseconds(1000);
/** Failures that are further apart do not belong to one wave. */
constexpr Duration WaveWindow = std::chrono::seconds(2);
/** Share of the fleet's workers that must fail within the window, and their lowest number. */
constexpr double WaveShare = 0.01;
constexpr std::size_t MinimumFailingWorkers = 3;
/** Most workers of a wave fail a run within half of this time. */
constexpr Duration ProofTime = std::chrono::milliseconds(800);
/** Longest wait for a proven worker with room; waves last 5 to 7 s. */
constexpr Duration LongestProofWait = std::chrono::seconds(8);
/** The same while a smaller share of the fleet is in use; the contract lets no work wait for 3 s beside idle workers.
 */
constexpr Duration LongestProofWaitWhenIdle = std::chrono::milliseconds(2000);
constexpr double BusyShare = 0.55;
/** Upper limit of the remembered failures. */
constexpr std::size_t MaximumFailures = 1000;

} // namespace

void FailureWave::recordFailure(const std::string &worker, MonotonicTime at, Duration ranFor)
{
    if (ranFor > EarlyFailure) {
        return;
    }
    m_failures.push_back({worker, at});
    while (m_failures.size() > MaximumFailures || at - m_failures.front().at > WaveWindow) {
        m_failures.pop_front();
    }
}

std::optional<MonotonicTime> FailureWave::since(MonotonicTime now, std::size_t workers)
{
    std::set<std::string> failing;
    std::optional<MonotonicTime> first;
    for (const Failure &failure : m_failures) {
        if (now - failure.at <= WaveWindow) {
            failing.insert(failure.worker);
            first = first ? std::min(*first, failure.at) : failure.at;
        }
    }
    const auto share = static_cast<std::size_t>(WaveShare * static_cast<double>(workers));
    if (failing.size() < std::max(MinimumFailingWorkers, share)) {
        m_since.reset();
    } else if (!m_since) {
        m_since = first;
    }
    return m_since;
}

std::optional<MonotonicTime> FailureWave::proofSince(MonotonicTime now, std::size_t workers)
{
    const std::optional<MonotonicTime> began = since(now, workers);
    if (began) {
        return began;
    }
    const bool recent = !m_failures.empty() && now - m_failures.back().at <= WaveWindow;
    return recent ? std::optional(now - WaveWindow) : std::nullopt;
}

bool provesWorker(Duration age)
{
    return age >= ProofTime;
}

bool shouldWaitForProof(Duration sinceFailure, double usedShare)
{
    return sinceFailure < (usedShare < BusyShare ? LongestProofWaitWhenIdle : LongestProofWait);
}

} // namespace coriander::decision
