#pragma once

#include "corianderscale/Transport/HttpClient.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Summary.h"

/** Settings of a load run. */
struct LoadSettings {
    std::vector<std::string> targets;
    std::string token;
    /** Requests per second; sent as an open loop, without waiting for answers. */
    double rate = 100;
    double seconds = 10;
    /** Services, or `jobs` for job submissions, each with its share of the requests. */
    std::vector<std::pair<std::string, double>> mix;
    /** Number of requests that are sent together. */
    int burst = 1;
    std::uint64_t seed = 1;
};

/** Limit on the requests of one run. */
inline constexpr std::int64_t MaximumRequests = 10'000'000;
/** Limit on the requests that wait for an answer at once; requests above it are not sent. */
inline constexpr std::int64_t MaximumOpenRequests = 20'000;

/**
 * Sends an open loop of requests and checks that every answer belongs to its request.
 *
 * Every tenth request to a service is sent again with the same key after its answer. For the services in @c atMostOnce,
 * a second answer from another attempt counts as doubled. Thread safety: run() may be called once only.
 */
class LoadRun
{
public:
    LoadRun(LoadSettings settings, std::set<std::string> atMostOnce);

    coriander::Json run();

private:
    struct SentRequest;

    void sendOne();
    void send(const std::shared_ptr<SentRequest> &sent);
    /** Records an answer. Returns whether the request must be sent again. */
    bool handleAnswer(const std::shared_ptr<SentRequest> &sent,
                      const std::optional<coriander::HttpResponse> &response,
                      coriander::MonotonicTime answeredAt);
    /** Whether the answer contains the key or the body digest of the request. */
    bool isAnswerTo(const SentRequest &sent, const coriander::HttpResponse &response) const;
    const std::string &chooseService();

    LoadSettings m_settings;
    std::set<std::string> m_atMostOnce;
    coriander::Clock m_clock;
    std::mt19937_64 m_random;
    std::string m_runId;
    std::int64_t m_requestNumber = 0;
    std::atomic<std::int64_t> m_openRequests = 0;
    std::mutex m_mutex;
    LoadSummary m_summary;
    /** Declared last, so that its completions have ended when the members that they use are destroyed. */
    coriander::HttpClient m_client;
};
