#pragma once

#include "corianderscale/Support/Time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace coriander::decision {

/**
 * Recognises that many workers suddenly fail what they start.
 *
 * Load pattern: a tenth of the workers fails every run within a fraction of a second, for some seconds, while they look
 * healthy. A failed gang is retried at once and meets the next such worker, so that its attempts are used up before the
 * workers are known. While a wave lasts, work goes first to workers that have proved since its beginning that they run
 * what they start, and a task's last attempt waits for such a worker.
 *
 * Thread safety: none; times are passed in.
 */
class FailureWave
{
public:
    /** Records a failed run of @p worker; runs that lasted long do not count, because the task may be the cause. */
    void recordFailure(const std::string &worker, MonotonicTime at, Duration ranFor);

    /** When the present wave began; no value if there is none. @p workers is the size of the fleet. */
    std::optional<MonotonicTime> since(MonotonicTime now, std::size_t workers);

    /** Since when a worker must have proved itself to be preferred for a retry: the beginning of the wave, or a short
     * time ago after a single failure that may begin one; no value without recent failures. */
    std::optional<MonotonicTime> proofSince(MonotonicTime now, std::size_t workers);

private:
    struct Failure {
        std::string worker;
        MonotonicTime at;
    };

    std::deque<Failure> m_failures;
    std::optional<MonotonicTime> m_since;
};

/** Whether a run that started @p age ago and goes on shows that its worker does not fail what it starts. */
bool provesWorker(Duration age);

/**
 * Whether a task should still wait for a proven worker, @p sinceFailure after its last failure, if one more failure
 * fails its job. @p usedShare is the share of the accelerators in use, from 0 to 1: while half of the fleet is idle, no
 * work may wait for long.
 */
bool shouldWaitForProof(Duration sinceFailure, double usedShare);

} // namespace coriander::decision
