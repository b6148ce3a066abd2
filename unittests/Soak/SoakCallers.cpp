#include "Soak/SoakCallers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

#include "Soak/CallAfter.h"
#include "platform/Names.h"

namespace coriander::soak {

namespace {

using Json = nlohmann::json;
using namespace coriander::workflow;
namespace names = coriander::platform::names;

/** Timeout of one call. */
constexpr auto CallTimeout = std::chrono::seconds(3);
/** Maximum number of attempts to submit a job. */
constexpr int MaximumSubmitAttempts = 4;
/** Contract: time from the answer to a submission until every node knows the accepted job. */
constexpr auto VisibilityLimit = std::chrono::milliseconds(3000);
/** Contract: age of the number of waiting jobs, and the time after which a job of it must be counted. */
constexpr auto WaitingAge = std::chrono::milliseconds(2000);
/** Interval between questions for the number of waiting jobs. */
constexpr auto WaitingPollInterval = std::chrono::milliseconds(100);
/** Contract: 3 s from the answer to a cancel until the last start, plus 12 s by which workers may execute orders late.
 */
constexpr auto CancelledStartLimit = std::chrono::seconds(15);

/**
 * Number of failed runs of a task that never succeeds. It exceeds the attempt limit by far, because ends that are lost
 * with their worker do not count as attempts.
 */
constexpr int PermanentFailureCount = 1000000;

bool isFinalState(const std::string &state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

SoakCallers::SoakCallers(boost::asio::io_context &loop,
                         SoakPlatform &platform,
                         std::vector<std::string> nodeAddresses,
                         unsigned seed)
    : m_loop(loop)
    , m_platform(platform)
    , m_nodeAddresses(std::move(nodeAddresses))
    , m_random(seed)
    , m_unusualRandom(seed + 1000)
    , m_advisedRandom(seed + 2000)
    , m_client(loop, AsyncHttpClient::Settings{})
{
    m_platform.workers.onStart = [this](const TaskKey &task, std::int64_t run) {
        checkTaskStart(task, run);
    };
}

void SoakCallers::start()
{
    m_submitting = true;
    submitNext();
    submitNextUnusual();
    submitNextAdvised();
    // The queue of /batch/ is replaced in the course of a run, and the new one has only its own jobs.
    pollWaiting("/urgent/");
    pollWaiting("/advised/");
}

void SoakCallers::stopSubmitting()
{
    m_submitting = false;
    for (const auto &[id, job] : m_jobs) {
        if (job->neverEnds && job->acceptedAt) {
            job->wantsCancel = true;
            cancel(job);
        }
    }
}

int SoakCallers::drawInteger(int minimum, int maximum)
{
    return std::uniform_int_distribution<int>(minimum, maximum)(m_random);
}

void SoakCallers::submitNext()
{
    if (!m_submitting) {
        return;
    }
    const SubmissionPointer job = makeSubmission();
    m_jobs[job->id] = job;
    submit(job);
    callAfter(m_loop, milliseconds(drawInteger(50, 400)), [this] { submitNext(); });
}

void SoakCallers::submitNextUnusual()
{
    if (!m_submitting) {
        return;
    }
    const SubmissionPointer job = makeUnusualSubmission();
    m_jobs[job->id] = job;
    submit(job);
    const int pause = std::uniform_int_distribution<int>(500, 2500)(m_unusualRandom);
    callAfter(m_loop, milliseconds(pause), [this] { submitNextUnusual(); });
}

SoakCallers::SubmissionPointer SoakCallers::makeUnusualSubmission()
{
    const auto draw = [this](int minimum, int maximum) {
        return std::uniform_int_distribution<int>(minimum, maximum)(m_unusualRandom);
    };
    const auto job = std::make_shared<Submission>();
    job->id = JobId(fmt::format("{:08x}{:08x}", m_unusualRandom(), m_unusualRandom()));
    job->path = (draw(0, 2) == 0 ? "/urgent/" : "/batch/") + job->id.value();
    job->maximumSubmitAttempts = MaximumSubmitAttempts;
    job->neverEnds = true;
    job->runsOnce = false;
    const std::int64_t nowMs = toUnixMs(systemClock().wallNow());
    Json body = {{"spec", payloadFor(job->id)}};
    FakeWorkers::TaskBehaviour behaviour;
    behaviour.resources = {MilliCores(100), MemoryMib(16), Accelerators(0)};
    Json step = {{"cpu", 100}, {"mem_mb", 16}, {"est_ms", 500}};
    switch (draw(0, 3)) {
    case 0: // Many occurrences that are not due.
        job->steps = {{200, 0, 500}};
        body.update({{"times", 1000}, {"first_ms", nowMs + 3600000}, {"interval_ms", 3600000}});
        break;
    case 1: // Many occurrences that are due and can never be done.
        job->steps.assign(8, {40, 0, 500});
        step["cpu"] = 64000;
        body.update({{"times", 1000}, {"first_ms", nowMs - 1000000}, {"interval_ms", 1000}});
        break;
    case 2: // Tasks that use idle cores and last.
        job->steps = {{draw(1, 4), 0, 500}};
        step.update({{"cpu", 32000}, {"fills", true}, {"long_running", true}, {"max_per_server", 1}});
        behaviour.resources.cores = MilliCores(0);
        behaviour.lasts = true;
        break;
    default: // Occurrences that become due one after the other.
        job->steps = {{2, 0, 500}};
        job->occurrences = static_cast<std::size_t>(draw(2, 20));
        job->neverEnds = false;
        body.update({{"times", job->occurrences}, {"first_ms", nowMs}, {"interval_ms", draw(50, 500)}});
        break;
    }
    behaviour.work = milliseconds(500);
    for (std::size_t s = 0; s < job->steps.size(); ++s) {
        step["count"] = job->steps[s].tasks;
        body["steps"].push_back(step);
        m_platform.workers.setBehaviour(job->id, s, behaviour);
    }
    job->body = body.dump();
    return job;
}

void SoakCallers::submitNextAdvised()
{
    if (!m_submitting) {
        return;
    }
    const SubmissionPointer job = makeAdvisedSubmission();
    m_jobs[job->id] = job;
    submit(job);
    const int pause = std::uniform_int_distribution<int>(300, 1200)(m_advisedRandom);
    callAfter(m_loop, milliseconds(pause), [this] { submitNextAdvised(); });
}

SoakCallers::SubmissionPointer SoakCallers::makeAdvisedSubmission()
{
    const auto draw = [this](int minimum, int maximum) {
        return std::uniform_int_distribution<int>(minimum, maximum)(m_advisedRandom);
    };
    const auto job = std::make_shared<Submission>();
    job->id = JobId(fmt::format("{:08x}{:08x}", m_advisedRandom(), m_advisedRandom()));
    job->path = "/advised/" + job->id.value();
    job->maximumSubmitAttempts = MaximumSubmitAttempts;
    const bool large = draw(0, 2) == 0;
    job->steps = {{draw(1, 2), large ? 8 : 1, draw(200, 1000), 0, large && draw(0, 1) == 0, false}};
    describe(*job);
    m_platform.requireTickets(job->id);
    return job;
}

std::vector<SoakCallers::StepShape> SoakCallers::drawSteps(bool &urgent)
{
    const int workMs = drawInteger(300, 2500);
    switch (drawInteger(0, 5)) {
    case 0:
        urgent = true;
        return {{drawInteger(2, 6), 2, workMs, 0, true, false}};
    case 1:
        return {{drawInteger(2, 4), 1, workMs, 0, false, false}, {drawInteger(1, 3), 1, workMs, 0, false, true}};
    case 2:
        return {{1, 1, workMs, PermanentFailureCount, false, false}};
    case 3:
        return {{drawInteger(1, 3), 1, workMs, 1, false, false}};
    case 4:
        return {{drawInteger(4, 12), 4, workMs, 0, true, false}};
    default:
        return {{drawInteger(1, 8), 1, workMs, 0, false, false}};
    }
}

SoakCallers::SubmissionPointer SoakCallers::makeSubmission()
{
    const auto job = std::make_shared<Submission>();
    job->id = JobId(fmt::format("{:08x}{:08x}", m_random(), m_random()));
    bool urgent = false;
    job->steps = drawSteps(urgent);
    job->wantsCancel = drawInteger(0, 9) == 0;
    job->maximumSubmitAttempts = drawInteger(1, MaximumSubmitAttempts);
    job->path = (urgent ? "/urgent/" : "/batch/") + job->id.value();
    describe(*job);
    return job;
}

void SoakCallers::describe(Submission &job)
{
    Json steps = Json::array();
    for (std::size_t s = 0; s < job.steps.size(); ++s) {
        const StepShape &shape = job.steps[s];
        Json step = {{"count", shape.tasks},
                     {"cpu", 2000},
                     {"mem_mb", 256},
                     {"gpu", shape.accelerators},
                     {"est_ms", shape.workMs},
                     {"gang", shape.gang},
                     {"same_rack", shape.gang}};
        if (shape.afterPrevious) {
            step["after"] = {s - 1};
        }
        steps.push_back(step);
        FakeWorkers::TaskBehaviour behaviour;
        behaviour.work = milliseconds(shape.workMs);
        behaviour.failures = shape.failures;
        behaviour.gang = shape.gang;
        behaviour.gangSize = static_cast<std::size_t>(shape.tasks);
        behaviour.resources = {MilliCores(2000), MemoryMib(256), Accelerators(shape.accelerators)};
        m_platform.workers.setBehaviour(job.id, s, behaviour);
    }
    job.body = Json{{"spec", payloadFor(job.id)}, {"steps", steps}}.dump();
}

HttpRequest SoakCallers::makeRequest(const std::string &method, const std::string &path, const std::string &body) const
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers["Host"] = SoakPlatform::Host;
    request.headers["Content-Type"] = "application/json";
    request.headers[names::CredentialHeader] = SoakPlatform::Credential;
    request.headers[names::DeadlineHeader]
        = std::to_string(std::chrono::duration_cast<milliseconds>(CallTimeout).count());
    request.body = body;
    return request;
}

void SoakCallers::send(const std::string &method,
                       const std::string &path,
                       const std::string &body,
                       AsyncHttpCompletion done)
{
    const std::string &nodeAddress
        = m_nodeAddresses[static_cast<std::size_t>(drawInteger(0, static_cast<int>(m_nodeAddresses.size()) - 1))];
    m_client.send(nodeAddress, makeRequest(method, path, body), CallTimeout, std::move(done));
}

void SoakCallers::submit(const SubmissionPointer &job)
{
    ++job->submitAttempts;
    send("POST", job->path, job->body, [this, job](const auto &response, const TransportError &error) {
        if (!response && error.code == TransportCode::Unreachable) {
            handleSubmitResponse(job, jsonResponse(503, "{}"));
            return;
        }
        handleSubmitResponse(job, response);
    });
}

void SoakCallers::handleSubmitResponse(const SubmissionPointer &job, const std::optional<HttpResponse> &response)
{
    if (response && response->status == 200) {
        job->acceptedAt = m_platform.timeline.now();
        if (job->neverEnds && !m_submitting) {
            job->wantsCancel = true;
        }
        if (job->wantsCancel) {
            callAfter(m_loop, milliseconds(drawInteger(0, 2000)), [this, job] { cancel(job); });
        }
        callAfter(m_loop, milliseconds(drawInteger(200, 3000)), [this, job] { pollState(job); });
        return;
    }
    const bool rejected = response && response->status == 503;
    job->mayBeAccepted = job->mayBeAccepted || !rejected;
    if (response && !rejected) {
        EXPECT_EQ(response->status, 504) << "unexpected answer to a submission: " << response->body;
    }
    if (job->submitAttempts >= job->maximumSubmitAttempts) {
        job->refused = !job->mayBeAccepted;
        EXPECT_FALSE(job->refused && m_platform.workers.starts({job->id, 0, 0, 0}) > 0)
            << "REFUSED: a rejected job was started before its last rejection: " << job->id;
        return;
    }
    callAfter(m_loop, std::chrono::seconds(1), [this, job] { submit(job); });
}

void SoakCallers::pollState(const SubmissionPointer &job)
{
    send("GET", job->path, "", [this, job](const auto &response, const TransportError &) {
        handleStateResponse(job, response);
        if (job->finalState.empty()) {
            callAfter(m_loop, milliseconds(500), [this, job] { pollState(job); });
        }
    });
}

void SoakCallers::handleStateResponse(const SubmissionPointer &job, const std::optional<HttpResponse> &response)
{
    if (!response) {
        return;
    }
    if (response->status == 410) {
        EXPECT_LT(m_platform.timeline.now() - *job->acceptedAt, VisibilityLimit)
            << "LOST: status 410 for accepted job " << job->id;
        return;
    }
    if (response->status != 200) {
        return;
    }
    const std::string state = Json::parse(response->body).at("state").get<std::string>();
    if (isFinalState(state)) {
        job->finalState = state;
        checkFinalState(*job);
    }
}

void SoakCallers::checkFinalState(const Submission &job) const
{
    if (job.finalState == "cancelled") {
        EXPECT_TRUE(job.wantsCancel) << "LOST: job cancelled without a request: " << job.id;
        return;
    }
    const bool alwaysFails = job.steps.front().failures >= FakeWorkers::MaximumAttempts;
    EXPECT_EQ(job.finalState, alwaysFails ? "failed" : "completed")
        << "LOST or MIXED: wrong final state of job " << job.id;
    if (job.finalState != "completed") {
        return;
    }
    for (std::size_t k = 0; k < job.occurrences; ++k) {
        for (std::size_t s = 0; s < job.steps.size(); ++s) {
            for (int i = 0; i < job.steps[s].tasks; ++i) {
                const TaskKey task{job.id, k, s, static_cast<std::size_t>(i)};
                EXPECT_TRUE(m_platform.workers.isDone(task) || job.steps[s].gang)
                    << "MIXED: job completed before task " << toString(task) << " was done";
            }
        }
    }
}

void SoakCallers::cancel(const SubmissionPointer &job)
{
    send("DELETE", job->path, "", [this, job](const auto &response, const TransportError &) {
        if (response && response->status == 200) {
            job->cancelledAt = m_platform.timeline.now();
            return;
        }
        callAfter(m_loop, milliseconds(500), [this, job] { cancel(job); });
    });
}

void SoakCallers::checkTaskStart(const TaskKey &task, std::int64_t run)
{
    const auto found = m_jobs.find(task.job);
    ASSERT_TRUE(found != m_jobs.end()) << "UNASKED: unknown job of task " << toString(task);
    Submission &job = *found->second;
    const StepShape &shape = job.steps.at(task.step);
    job.begun = job.begun || !shape.gang
        || m_platform.workers.isGangPresent({task, run}, static_cast<std::size_t>(shape.tasks));
    EXPECT_FALSE(job.refused) << "REFUSED: " << toString(task) << " started although every submission was rejected";
    if (job.cancelledAt) {
        EXPECT_LT(m_platform.timeline.now() - *job.cancelledAt, CancelledStartLimit)
            << "UNASKED: started too long after the cancel of its job: " << toString(task);
    }
    for (std::size_t s = 0; s < task.step; ++s) {
        for (int i = 0; i < job.steps[s].tasks; ++i) {
            EXPECT_TRUE(m_platform.workers.isDone({task.job, task.occurrence, s, static_cast<std::size_t>(i)}))
                << "ORDER: " << toString(task) << " started before step " << s << " was done";
        }
    }
}

std::vector<SoakCallers::SubmissionPointer> SoakCallers::jobsThatCountAsWaiting(const std::string &prefix) const
{
    std::vector<SubmissionPointer> counted;
    for (const auto &[id, job] : m_jobs) {
        const bool old = job->acceptedAt && m_platform.timeline.now() > *job->acceptedAt + VisibilityLimit + WaitingAge;
        if (old && job->runsOnce && !job->begun && !job->wantsCancel && job->path.find(prefix) == 0) {
            counted.push_back(job);
        }
    }
    return counted;
}

void SoakCallers::pollWaiting(const std::string &prefix)
{
    const std::vector<SubmissionPointer> counted = jobsThatCountAsWaiting(prefix);
    const auto handle = [this, prefix, counted](const auto &response, const TransportError &) {
        if (response && response->status == 200) {
            checkWaiting(prefix, counted, *response);
        }
        callAfter(m_loop, WaitingPollInterval, [this, prefix] { pollWaiting(prefix); });
    };
    const std::string &node = m_nodeAddresses[m_waitingPolls++ % m_nodeAddresses.size()];
    m_client.send(node, makeRequest("GET", prefix, ""), CallTimeout, handle);
}

void SoakCallers::checkWaiting(const std::string &prefix,
                               const std::vector<SubmissionPointer> &countedJobs,
                               const HttpResponse &response) const
{
    const auto waiting = Json::parse(response.body).at("waiting").get<std::int64_t>();
    const auto notBegun = std::count_if(
        countedJobs.begin(), countedJobs.end(), [](const SubmissionPointer &job) { return !job->begun; });
    EXPECT_GE(2 * waiting, notBegun) << "MIXED: " << prefix << " has " << waiting << " waiting jobs, but of "
                                     << notBegun << " no task has begun";
}

bool SoakCallers::hasObservedAllFinalStates() const
{
    return listJobsWithoutFinalState().empty();
}

std::string SoakCallers::listJobsWithoutFinalState() const
{
    std::string text;
    for (const auto &[id, job] : m_jobs) {
        if (job->acceptedAt && job->finalState.empty()) {
            text += fmt::format(
                "{} accepted {} ms ago\n",
                id.value(),
                std::chrono::duration_cast<milliseconds>(m_platform.timeline.now() - *job->acceptedAt).count());
        }
    }
    return text;
}

void SoakCallers::expectQueueAtEveryNode(const std::string &prefix)
{
    for (const std::string &nodeAddress : m_nodeAddresses) {
        m_client.send(nodeAddress,
                      makeRequest("GET", prefix, ""),
                      CallTimeout,
                      [nodeAddress, prefix](const auto &response, const TransportError &error) {
                          EXPECT_TRUE(response && response->status == 200)
                              << "CONFIG: " << nodeAddress << " returned status " << (response ? response->status : 0)
                              << " " << error.reason << " for the queue " << prefix;
                      });
    }
}

std::size_t SoakCallers::acceptedJobs() const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &each) { return each.second->acceptedAt; }));
}

std::size_t SoakCallers::refusedJobs() const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &each) { return each.second->refused; }));
}

} // namespace coriander::soak
