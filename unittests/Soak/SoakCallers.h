#pragma once

#include "corianderscale/Transport/AsyncHttpClient.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Soak/SoakPlatform.h"

namespace coriander::soak {

/**
 * Submits jobs, asks for them and cancels some, through any node, and judges every answer. A violation fails the test.
 */
class SoakCallers
{
public:
    /** @p fronts are the addresses by which callers reach the nodes. */
    SoakCallers(boost::asio::io_context &loop, SoakPlatform &platform, std::vector<std::string> fronts, unsigned seed);

    /** Submits jobs until stopSubmitting(). */
    void start();
    void stopSubmitting();

    /** Whether every accepted job was shown in its final state. */
    bool allSettled() const;
    /** One line for each accepted job without a final state. */
    std::string listUnsettled() const;

    /** Fails the test unless the queue with @p prefix is known at every node. */
    void expectQueueEverywhere(const std::string &prefix);

    std::size_t acceptedJobs() const;
    std::size_t refusedJobs() const;

private:
    struct StepShape {
        int tasks = 1;
        int accelerators = 1;
        int workMs = 1000;
        int failures = 0;
        bool gang = false;
        bool afterPrevious = false;
    };

    struct Submission {
        JobId id;
        std::string path;
        std::string body;
        std::vector<StepShape> steps;
        int tries = 0;
        /** Attempts after which the caller gives up. */
        int mostTries = 1;
        /** Whether an attempt may have been taken: it was not rejected by an answer. */
        bool unclear = false;
        bool refused = false;
        std::optional<MonotonicTime> acceptedAt;
        std::optional<MonotonicTime> cancelledAt;
        bool wantsCancel = false;
        std::string finalState;
    };
    using SubmissionPointer = std::shared_ptr<Submission>;

    void submitNext();
    SubmissionPointer makeSubmission();
    std::vector<StepShape> drawSteps(bool &urgent);
    void attempt(const SubmissionPointer &job);
    void submitAnswered(const SubmissionPointer &job, const std::optional<HttpResponse> &response);
    void ask(const SubmissionPointer &job);
    void stateAnswered(const SubmissionPointer &job, const std::optional<HttpResponse> &response);
    void cancel(const SubmissionPointer &job);
    void taskStarted(const workflow::TaskKey &task);
    void checkFinalState(const Submission &job) const;
    void send(const std::string &method, const std::string &path, const std::string &body, AsyncHttpCompletion done);
    HttpRequest makeRequest(const std::string &method, const std::string &path, const std::string &body) const;
    int draw(int least, int most);

    boost::asio::io_context &m_loop;
    SoakPlatform &m_platform;
    std::vector<std::string> m_fronts;
    std::mt19937 m_random;
    AsyncHttpClient m_client;
    std::map<JobId, SubmissionPointer> m_jobs;
    bool m_submitting = false;
};

} // namespace coriander::soak
