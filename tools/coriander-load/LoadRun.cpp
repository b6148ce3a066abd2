#include "LoadRun.h"

#include "corianderscale/Protocol/CallerMessages.h"
#include "corianderscale/Protocol/EndpointMessages.h"
#include "corianderscale/Support/StrongId.h"

#include <fmt/format.h>

#include <memory>
#include <thread>

using namespace coriander;

namespace {

constexpr Duration AnswerTimeout = std::chrono::seconds(30);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
constexpr int RequestsPerRepeat = 10;
constexpr char JobsService[] = "jobs";

} // namespace

struct LoadRun::SentRequest {
    std::string service;
    std::string target;
    std::string key;
    std::string body;
    MonotonicTime sentAt;
    bool repeat = false;
    bool answered = false;
    /** Attempt that answered first. */
    std::string firstAttempt;
};

LoadRun::LoadRun(LoadSettings settings, std::set<std::string> atMostOnce)
    : m_settings(std::move(settings))
    , m_atMostOnce(std::move(atMostOnce))
    , m_clock(systemClock())
    , m_random(m_settings.seed)
    , m_runId(randomHex(6))
    , m_client(m_clock)
{
}

const std::string &LoadRun::chooseService()
{
    double total = 0;
    for (const auto &[service, share] : m_settings.mix) {
        total += share;
    }
    double point = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const auto &[service, share] : m_settings.mix) {
        if (point < share) {
            return service;
        }
        point -= share;
    }
    return m_settings.mix.back().first;
}

void LoadRun::sendOne()
{
    const auto sent = std::make_shared<SentRequest>();
    sent->service = chooseService();
    sent->target = m_settings.targets[m_random() % m_settings.targets.size()];
    sent->key = fmt::format("{}-{}", m_runId, ++m_requestNumber);
    sent->body = sent->service == JobsService
        ? fmt::format(R"({{"command":"sleep","tasks":1,"kind":"load","key":"{}"}})", sent->key)
        : fmt::format("request {} {:016x}", sent->key, m_random());
    sent->repeat = sent->service != JobsService && m_requestNumber % RequestsPerRepeat == 0;
    if (m_openRequests.load() >= MaximumOpenRequests) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_summary.refused["not-sent-too-many-open"];
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_summary.sent;
    }
    send(sent);
}

void LoadRun::send(const std::shared_ptr<SentRequest> &sent)
{
    m_openRequests.fetch_add(1);
    sent->sentAt = m_clock.now();
    HttpRequest request;
    request.method = "POST";
    request.path = sent->service == JobsService ? "/v1/jobs" : "/v1/requests/" + sent->service;
    request.headers["Authorization"] = "Bearer " + m_settings.token;
    request.headers["Request-Key"] = sent->key;
    request.body = sent->body;
    m_client.send(sent->target,
                  request,
                  m_clock.now() + AnswerTimeout,
                  [this, sent](const std::optional<HttpResponse> &response, const TransportError &) {
                      if (handleAnswer(sent, response, m_clock.now())) {
                          send(sent);
                      }
                      m_openRequests.fetch_sub(1);
                  });
}

bool LoadRun::isAnswerTo(const SentRequest &sent, const HttpResponse &response) const
{
    ProtocolError error;
    const auto json = parseJson(response.body, MaximumMessageBytes, error);
    if (!json || !json->is_object()) {
        return false;
    }
    if (sent.service == JobsService) {
        const auto spec = json->find("spec");
        return spec != json->end() && spec->value("key", "") == sent.key;
    }
    return json->value("bodyDigest", "") == contentDigest(sent.body)
        && response.header(ContentDigestHeader) == contentDigest(response.body);
}

bool LoadRun::handleAnswer(const std::shared_ptr<SentRequest> &sent,
                           const std::optional<HttpResponse> &response,
                           MonotonicTime answeredAt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!sent->firstAttempt.empty()) {
        const bool isOtherAttempt
            = response && response->status < 300 && response->header(AttemptIdHeader) != sent->firstAttempt;
        m_summary.doubled += isOtherAttempt && m_atMostOnce.contains(sent->service) ? 1 : 0;
        return false;
    }
    m_summary.doubled += sent->answered ? 1 : 0;
    sent->answered = true;
    if (!response) {
        ++m_summary.lost;
        return false;
    }
    if (response->status >= 300) {
        ProtocolError error;
        const auto refusal = decodeMessage<ErrorBody>(response->body, error);
        ++m_summary.refused[refusal ? refusal->code : "status-" + std::to_string(response->status)];
        return false;
    }
    if (!isAnswerTo(*sent, *response)) {
        ++m_summary.crossed;
        return false;
    }
    ++m_summary.finished;
    m_summary.latency.add(answeredAt - sent->sentAt);
    if (sent->repeat) {
        sent->firstAttempt = response->header(AttemptIdHeader);
        sent->target = m_settings.targets[m_summary.finished % m_settings.targets.size()];
    }
    return sent->repeat;
}

Json LoadRun::run()
{
    const MonotonicTime start = m_clock.now();
    const auto bursts = static_cast<std::int64_t>(m_settings.rate * m_settings.seconds / m_settings.burst);
    for (std::int64_t i = 0; i < bursts; ++i) {
        const auto offset
            = static_cast<std::int64_t>(static_cast<double>(i) * m_settings.burst / m_settings.rate * 1e6);
        const Duration wait = start + Duration(offset) - m_clock.now();
        if (wait > Duration(0)) {
            std::this_thread::sleep_for(wait);
        }
        for (int j = 0; j < m_settings.burst; ++j) {
            sendOne();
        }
    }
    const double seconds = static_cast<double>((m_clock.now() - start).count()) / 1e6;
    const MonotonicTime limit = m_clock.now() + AnswerTimeout;
    while (m_openRequests.load() > 0 && m_clock.now() < limit) {
        std::this_thread::sleep_for(DrainPollInterval);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_summary.toJson(seconds);
}
