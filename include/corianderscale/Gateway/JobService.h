#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/GatewayHooks.h"
#include "corianderscale/Gateway/RequestCounters.h"
#include "corianderscale/State/Document.h"
#include "corianderscale/Transport/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace coriander {

/** Dependencies of a JobService. All references must outlive it. */
struct JobServiceParts {
    GatewayHooks &hooks;
    Store &store;
    RequestCounters &counters;
    DataCentreId dataCentre;
    /** Returns the refusal when the caller exceeds a rate limit, or no value. */
    std::function<std::optional<ErrorBody>(const CallerKey &)> admit;
    /** Returns the document in force. */
    std::function<std::shared_ptr<const Document>()> document;
    /** Notifies the schedulers of a data centre that a job row has changed. */
    std::function<void(const DataCentreId &, const JobId &)> jobChanged;
};

/**
 * Checks whether a job can ever run under a document. Returns the refusal when the job exceeds its organisation's quota
 * or when no declared worker, rack or data centre can hold all its tasks; otherwise no value. Thread safety: pure
 * function.
 */
std::optional<ErrorBody> checkJobFeasible(const JobSpec &spec,
                                          const OrganisationId &organisation,
                                          const Document &document);

/**
 * Handles the job calls of callers: submit, list, get and cancel.
 *
 * A job with a caller's key is written in one transaction with a row `jobkeys/<org>/<caller>/<key>` that contains the
 * job id. The transaction requires that neither row exists, so that a repeated key finds the first job. Thread safety:
 * the gateway's thread.
 */
class JobService
{
public:
    explicit JobService(JobServiceParts parts);

    void submit(const CallerKey &caller, const std::string &body, HttpRespond respond);
    void get(const CallerKey &caller, const JobId &id, HttpRespond respond);
    /** Lists the caller's jobs that follow the row key or cursor @p after; from the start when it is empty. */
    void list(const CallerKey &caller, const std::string &after, std::int64_t limit, HttpRespond respond);
    void cancel(const CallerKey &caller, const JobId &id, HttpRespond respond);

    /** Number of calls that have not been answered. */
    std::size_t inProgress() const;

private:
    struct Submission;
    struct Listing;
    using RowDone = std::function<void(bool known, std::optional<JobRecord>, RowVersion)>;

    void write(const std::shared_ptr<Submission> &submission);
    void onWritten(const std::shared_ptr<Submission> &submission,
                   const std::optional<TableTransactionResult> &result,
                   const CoordinationError &error);
    void findExistingJob(const std::shared_ptr<Submission> &submission);
    void readBackJob(const std::shared_ptr<Submission> &submission);
    void accept(const std::shared_ptr<Submission> &submission, const JobRecord &record);
    void refuse(const CallerKey &caller, const ErrorBody &error, const HttpRespond &respond);
    void readJob(const JobId &id, RowDone done);
    void writeCancel(const CallerKey &caller, const JobId &id, int attemptsLeft, const HttpRespond &respond);
    void listPage(const std::shared_ptr<Listing> &listing);
    void onPage(const std::shared_ptr<Listing> &listing, const std::optional<TableRows> &rows);
    HttpRespond trackInProgress(HttpRespond respond);

    JobServiceParts m_parts;
    std::size_t m_inProgress = 0;
};

} // namespace coriander
