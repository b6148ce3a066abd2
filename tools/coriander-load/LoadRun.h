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

/** What a load run does. */
struct LoadSettings {
    std::vector<std::string> targets;
    std::string token;
    /** Requests a second, open loop. */
    double rate = 100;
    double seconds = 10;
    /** Service or `jobs`, with its share. */
    std::vector<std::pair<std::string, double>> mix;
    /** Requests that are sent together. */
    int burst = 1;
    std::uint64_t seed = 1;
};

/** The most requests of one run, and the most without an answer at once. */
inline constexpr std::int64_t MaximumRequests = 10'000'000;
inline constexpr std::int64_t MaximumOpen = 20'000;

/**
 * Sends an open loop of requests and checks that every answer belongs to its request.
 *
 * Every tenth request to a service is sent a second time with its key after its answer; another attempt in the second
 * answer counts as doubled for the services in @c atMostOnce. Thread safety: run() once.
 */
class LoadRun
{
public:
    LoadRun(LoadSettings settings, std::set<std::string> atMostOnce);

    coriander::Json run();

private:
    struct Sent;

    void sendOne();
    void send(const std::shared_ptr<Sent> &sent);
    /** Takes an answer; returns whether the request is to be sent again. */
    bool onAnswer(const std::shared_ptr<Sent> &sent,
                  const std::optional<coriander::HttpResponse> &response,
                  coriander::MonotonicTime answeredAt);
    bool belongs(const Sent &sent, const coriander::HttpResponse &response) const;
    const std::string &chooseService();

    LoadSettings m_settings;
    std::set<std::string> m_atMostOnce;
    coriander::Clock m_clock;
    std::mt19937_64 m_random;
    std::string m_run;
    std::int64_t m_number = 0;
    std::atomic<std::int64_t> m_open = 0;
    std::mutex m_mutex;
    LoadSummary m_summary;
    /** Last, so that its completions end before the rest is destroyed. */
    coriander::HttpClient m_client;
};
