#pragma once

#include <mutex>

namespace coriander {

/**
 * Limits retries to a fraction of the first sends, so that retries cannot amplify an overload.
 *
 * Thread safety: all methods from any thread.
 */
class RetryBudget
{
public:
    struct Settings {
        /** Retries earned by each first send. */
        double retriesPerSend = 0.1;
        /** Maximum number of unused retries that are kept; also the number at the start. */
        double maximumRetries = 10;
    };

    explicit RetryBudget(Settings settings);

    /** Records the first send of a request. */
    void recordSend();

    /** Takes one retry from the budget. Returns false when the budget is exhausted; the failure is then final. */
    bool tryTakeRetry();

private:
    Settings m_settings;
    std::mutex m_mutex;
    double m_retries;
};

} // namespace coriander
