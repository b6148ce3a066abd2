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
 * Submits jobs, polls their states and cancels some of them, each through a random node, and checks every response. A
 * violation of the contract fails the test.
 */
class SoakCallers
{
public:
    /** @p nodeAddresses are the addresses at which callers reach the nodes. */
    SoakCallers(boost::asio::io_context &loop,
                SoakPlatform &platform,
                std::vector<std::string> nodeAddresses,
                unsigned seed);

    /** Submits jobs until stopSubmitting(). */
    void start();
    void stopSubmitting();

    /** Whether the final state of every accepted job has been observed. */
    bool hasObservedAllFinalStates() const;
    /** One line for each accepted job whose final state has not been observed. */
    std::string listJobsWithoutFinalState() const;

    /** Requests the queue with @p prefix from every node; the test fails if a response is not 200. */
    void expectQueueAtEveryNode(const std::string &prefix);

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
        std::size_t occurrences = 1;
        /** Whether the job lasts, is not due or can never be done; it is cancelled when submissions end. */
        bool neverEnds = false;
        int submitAttempts = 0;
        /** Maximum number of attempts to submit the job. */
        int maximumSubmitAttempts = 1;
        /** Whether the job may have been accepted: at least one attempt was not rejected by a response. */
        bool mayBeAccepted = false;
        /** Whether every attempt was rejected, so that no task may start. */
        bool refused = false;
        std::optional<MonotonicTime> acceptedAt;
        std::optional<MonotonicTime> cancelledAt;
        bool wantsCancel = false;
        /** Whether a task of the job has begun. */
        bool begun = false;
        /** Whether the job has no due times, so that the rule on waiting jobs counts it. */
        bool runsOnce = true;
        std::string finalState;
    };
    using SubmissionPointer = std::shared_ptr<Submission>;

    void submitNext();
    /** Submits jobs that recur, can never be done, or fill and last, from random numbers of their own. */
    void submitNextUnusual();
    SubmissionPointer makeUnusualSubmission();
    /** Submits jobs to a queue that needs advice, of which some need whole workers. */
    void submitNextAdvised();
    SubmissionPointer makeAdvisedSubmission();
    /** Adds the body and the steps' behaviour to a job whose shape is known. */
    void describe(Submission &job);
    SubmissionPointer makeSubmission();
    std::vector<StepShape> drawSteps(bool &urgent);
    void submit(const SubmissionPointer &job);
    void handleSubmitResponse(const SubmissionPointer &job, const std::optional<HttpResponse> &response);
    void pollState(const SubmissionPointer &job);
    void handleStateResponse(const SubmissionPointer &job, const std::optional<HttpResponse> &response);
    void cancel(const SubmissionPointer &job);
    /** Asks a node for the number of waiting jobs of a queue, again and again. */
    void pollWaiting(const std::string &prefix);
    /** Checks that number. @p countedJobs are those that had to count when the node was asked. */
    void checkWaiting(const std::string &prefix,
                      const std::vector<SubmissionPointer> &countedJobs,
                      const HttpResponse &response) const;
    /** The jobs of a queue that were accepted long enough ago to be counted and of which no task has begun. */
    std::vector<SubmissionPointer> jobsThatCountAsWaiting(const std::string &prefix) const;
    void checkTaskStart(const workflow::TaskKey &task, std::int64_t run);
    void checkFinalState(const Submission &job) const;
    void send(const std::string &method, const std::string &path, const std::string &body, AsyncHttpCompletion done);
    HttpRequest makeRequest(const std::string &method, const std::string &path, const std::string &body) const;
    int drawInteger(int minimum, int maximum);

    boost::asio::io_context &m_loop;
    SoakPlatform &m_platform;
    std::vector<std::string> m_nodeAddresses;
    std::mt19937 m_random;
    /** Separate, so that unusual and advised jobs do not change the other jobs of a seed. */
    std::mt19937 m_unusualRandom;
    std::mt19937 m_advisedRandom;
    std::size_t m_waitingPolls = 0;
    AsyncHttpClient m_client;
    std::map<JobId, SubmissionPointer> m_jobs;
    bool m_submitting = false;
};

} // namespace coriander::soak
