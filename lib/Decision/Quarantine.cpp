#include "corianderscale/Decision/Quarantine.h"

#include <algorithm>

namespace coriander::decision {

namespace {

/** Number of recent failures kept per worker. */
constexpr std::size_t FailuresKept = 8;
/** Number of successes of a kind after which a failure is attributed to the worker instead of the kind. */
constexpr std::int64_t SuccessesToTrustKind = 5;
/** Maximum number of kinds in the table. A table that exceeds it is cleared, to bound memory. */
constexpr std::size_t MaximumKinds = 20000;

std::string kindOf(const Job &job)
{
    return job.request.organisation.value() + '/' + job.request.caller.value() + '/' + job.request.kind;
}

} // namespace

void Quarantine::recordSuccess(const Job &job, const GangParts &parts)
{
    Kind &kind = m_kinds[kindOf(job)];
    ++kind.successes;
    kind.failedOn.clear();
    for (const GangPart &part : parts) {
        const auto history = m_histories.find(part.worker);
        if (history == m_histories.end()) {
            continue;
        }
        if (++history->second.successesSince >= static_cast<std::int64_t>(history->second.failures.size())) {
            m_histories.erase(history);
        }
    }
}

void Quarantine::record(const std::string &kind, WorkerIndex worker, MonotonicTime now)
{
    if (m_kinds.size() > MaximumKinds) {
        m_kinds.clear();
    }
    m_kinds[kind].failedOn.insert(worker);
    History &history = m_histories[worker];
    history.failures.push_back({kind, now});
    if (history.failures.size() > FailuresKept) {
        history.failures.pop_front();
    }
}

void Quarantine::recordFailure(const Job &job, WorkerIndex worker, MonotonicTime now)
{
    record(kindOf(job), worker, now);
}

void Quarantine::recordRefusal(const Job &job, WorkerIndex worker, MonotonicTime now)
{
    // Refusals say nothing about the job, so each counts as a kind of its own.
    record("refused/" + job.request.id.value(), worker, now);
}

bool Quarantine::isFaultyKind(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found != m_kinds.end() && found->second.failedOn.size() >= WorkersToSuspectKind;
}

bool Quarantine::isSuspect(WorkerIndex worker, MonotonicTime now, std::string &reason) const
{
    const auto found = m_histories.find(worker);
    if (found == m_histories.end()) {
        return false;
    }
    std::set<std::string> kinds;
    std::size_t failures = 0;
    bool trusted = false;
    for (const Failure &failure : found->second.failures) {
        if (now - failure.at > FailureWindow || isFaultyKind(failure.kind)) {
            continue;
        }
        ++failures;
        kinds.insert(failure.kind);
        const auto kind = m_kinds.find(failure.kind);
        trusted = trusted || (kind != m_kinds.end() && kind->second.successes >= SuccessesToTrustKind);
    }
    const bool mostlyFails = failures > static_cast<std::size_t>(found->second.successesSince);
    if (failures < FailuresToSuspect || !mostlyFails || (kinds.size() < 2 && !trusted)) {
        return false;
    }
    reason = std::to_string(failures) + " failures of " + std::to_string(kinds.size())
        + " kinds of job that do not fail elsewhere, against " + std::to_string(found->second.successesSince)
        + " successes";
    return true;
}

void Quarantine::admit(WorkerIndex worker, MonotonicTime now)
{
    m_quarantined[worker] = {now + InitialProbeDelay, InitialProbeDelay, 0, false};
}

bool Quarantine::recordProbe(WorkerIndex worker, bool succeeded, MonotonicTime now)
{
    const auto found = m_quarantined.find(worker);
    if (found == m_quarantined.end()) {
        return false;
    }
    ProbeState &probation = found->second;
    probation.probeRunning = false;
    if (!succeeded) {
        probation.succeeded = 0;
        probation.delay = std::min(probation.delay * 2, MaximumProbeDelay);
        probation.nextProbe = now + probation.delay;
        return false;
    }
    probation.nextProbe = now;
    return ++probation.succeeded >= SuccessfulProbesToRelease;
}

void Quarantine::removeWorker(WorkerIndex worker)
{
    m_quarantined.erase(worker);
    m_histories.erase(worker);
}

std::optional<WorkerIndex> Quarantine::dueForProbe(MonotonicTime now) const
{
    for (const auto &[worker, probation] : m_quarantined) {
        if (!probation.probeRunning && probation.nextProbe <= now) {
            return worker;
        }
    }
    return std::nullopt;
}

void Quarantine::beginProbe(WorkerIndex worker)
{
    m_quarantined[worker].probeRunning = true;
}

} // namespace coriander::decision
