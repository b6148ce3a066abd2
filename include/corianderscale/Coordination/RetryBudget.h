#pragma once

#include <mutex>

namespace coriander {

/**
 * Allows retries as a share of sends, so that retries cannot multiply an overload.
 *
 * Thread safety: all methods from any thread.
 */
class RetryBudget
{
public:
    struct Settings {
        /** Retries per send. */
        double share = 0.1;
        /** The most retries that are saved up, and the number at the start. */
        double most = 10;
    };

    explicit RetryBudget(Settings settings);

    /** Counts a first send. */
    void sent();

    /** Takes one retry. Returns false when the budget is used up; the failure is then final. */
    bool tryRetry();

private:
    Settings m_settings;
    std::mutex m_mutex;
    double m_retries;
};

} // namespace coriander
