#include "corianderscale/Standin/EndpointModel.h"

#include <algorithm>
#include <cassert>

namespace coriander {

EndpointModel::EndpointModel(EndpointModelSettings settings)
    : m_settings(std::move(settings))
{
}

std::optional<EndpointRefusal> EndpointModel::checkRun(const EndpointRunRequest &request, WallTime wallNow) const
{
    const auto known = m_attempts.find(request.attempt);
    if (known != m_attempts.end()) {
        const bool fenced = known->second.phase == Phase::Fenced;
        return EndpointRefusal{fenced ? "fenced" : "already-seen", !fenced};
    }
    if (m_leaving) {
        return EndpointRefusal{"leaving", false};
    }
    const auto &services = m_settings.services;
    if (std::find(services.begin(), services.end(), request.service) == services.end()) {
        return EndpointRefusal{"unknown-service", false};
    }
    if (request.startByUnixMs != 0 && toUnixMs(wallNow) > request.startByUnixMs) {
        return EndpointRefusal{"too-late", false};
    }
    if (static_cast<std::int64_t>(m_running.size()) >= m_settings.slots) {
        return EndpointRefusal{"slot-full", false};
    }
    return std::nullopt;
}

std::optional<EndpointRefusal> EndpointModel::run(const EndpointRunRequest &request,
                                                  MonotonicTime now,
                                                  WallTime wallNow)
{
    if (auto refusal = checkRun(request, wallNow)) {
        return refusal;
    }
    m_attempts[request.attempt] = {Phase::Running, request.service, contentDigest(request.body), {}, {}};
    m_running.emplace(now + m_settings.workTime, request.attempt);
    return std::nullopt;
}

std::vector<FinishedAttempt> EndpointModel::finish(MonotonicTime now)
{
    std::vector<FinishedAttempt> finished;
    while (!m_running.empty() && m_running.begin()->first <= now) {
        const AttemptId id = m_running.begin()->second;
        m_running.erase(m_running.begin());
        Attempt &attempt = m_attempts.at(id);
        attempt.phase = Phase::Done;
        attempt.answer = makeAnswer(attempt.service, attempt.bodyDigest);
        attempt.answerDigest = contentDigest(attempt.answer);
        finished.push_back({id, attempt.service, attempt.bodyDigest, attempt.answer});
        m_finished.push_back(id);
    }
    clearOldAnswers();
    return finished;
}

void EndpointModel::clearOldAnswers()
{
    while (m_finished.size() - m_clearedAnswers > m_settings.maximumKeptAnswers) {
        m_attempts.at(m_finished[m_clearedAnswers]).answer.clear();
        ++m_clearedAnswers;
    }
    if (m_clearedAnswers > m_settings.maximumKeptAnswers) {
        m_finished.erase(m_finished.begin(), m_finished.begin() + static_cast<std::ptrdiff_t>(m_clearedAnswers));
        m_clearedAnswers = 0;
    }
}

MonotonicTime EndpointModel::nextEndTime() const
{
    return m_running.empty() ? NeverDue : m_running.begin()->first;
}

AttemptStatus EndpointModel::status(const AttemptId &attempt) const
{
    AttemptStatus status;
    status.attempt = attempt;
    status.incarnation = m_settings.incarnation;
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return status;
    }
    status.fenced = found->second.phase == Phase::Fenced;
    if (found->second.phase == Phase::Running) {
        status.state = "running";
    } else if (found->second.phase == Phase::Done) {
        status.state = "done";
        status.answer = found->second.answer;
        status.contentDigest = found->second.answerDigest;
    }
    return status;
}

AttemptStatus EndpointModel::fence(const AttemptId &attempt)
{
    m_attempts.try_emplace(attempt, Attempt{Phase::Fenced, {}, {}, {}, {}});
    return status(attempt);
}

void EndpointModel::leave()
{
    m_leaving = true;
}

bool EndpointModel::isDrained() const
{
    return m_leaving && m_running.empty();
}

EndpointInfo EndpointModel::info(std::int64_t connections) const
{
    EndpointInfo info;
    info.id = m_settings.id;
    info.incarnation = m_settings.incarnation;
    info.dataCentre = m_settings.dataCentre;
    info.state = m_leaving ? "leaving" : "live";
    info.services = m_settings.services;
    info.slots = m_settings.slots;
    info.slotsUsed = static_cast<std::int64_t>(m_running.size());
    info.connections = connections;
    return info;
}

std::string EndpointModel::makeAnswer(const ServiceName &service, const std::string &bodyDigest)
{
    return Json{{"service", service.value()}, {"bodyDigest", bodyDigest}}.dump();
}

} // namespace coriander
