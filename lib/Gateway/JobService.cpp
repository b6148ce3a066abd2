#include "corianderscale/Gateway/JobService.h"

#include "corianderscale/Gateway/GatewayReplies.h"
#include "corianderscale/Support/Log.h"

#include <algorithm>

namespace coriander {

namespace {

constexpr Duration StoreCallTimeout = std::chrono::seconds(3);
constexpr std::size_t OperationIdBytes = 16;
constexpr std::size_t MaximumJobBytes = 32 * 1024;
constexpr int MaximumCancelAttempts = 5;
constexpr std::int64_t RowsPerPage = 500;
constexpr int PagesPerCall = 20;
/** Number of digits of a job id in a cursor: enough to continue a listing, too few to identify another caller's job. */
constexpr std::size_t CursorDigits = 12;

std::string jobKeyRow(const CallerKey &caller, const RequestKey &key)
{
    return "jobkeys/" + caller.organisation.value() + "/" + caller.caller.value() + "/" + key.value();
}

HttpResponse notFound()
{
    return errorResponse({"not-found", Outcome::Rejected, "no job of this caller has this id", 0});
}

HttpResponse readFailed()
{
    return errorResponse({"cut-off", Outcome::Unknown, "the store is unavailable; retry later", 1000});
}

bool belongsTo(const JobRecord &record, const CallerKey &caller)
{
    return record.organisation == caller.organisation && record.caller == caller.caller;
}

bool fitsWorker(const RackSpec &rack, const JobSpec &spec, std::int64_t tasks)
{
    return rack.workers > 0 && rack.perWorker.accelerators >= spec.accelerators * tasks
        && rack.perWorker.cores >= spec.cores * tasks && rack.perWorker.memory >= spec.memory * tasks;
}

/** Maximum number of tasks of the job that an empty rack can hold. */
std::int64_t tasksInRack(const RackSpec &rack, const JobSpec &spec)
{
    std::int64_t perWorker = 0;
    while (perWorker < spec.tasks && fitsWorker(rack, spec, perWorker + 1)) {
        ++perWorker;
    }
    return perWorker * rack.workers;
}

bool fitsDataCentre(const DataCentreSpec &dataCentre, const JobSpec &spec)
{
    std::int64_t tasks = 0;
    for (const RackSpec &rack : dataCentre.racks) {
        const std::int64_t inRack = tasksInRack(rack, spec);
        if (spec.adjacency == Adjacency::Worker && fitsWorker(rack, spec, spec.tasks)) {
            return true;
        }
        if (spec.adjacency == Adjacency::Rack && inRack >= spec.tasks) {
            return true;
        }
        tasks += inRack;
    }
    return spec.adjacency == Adjacency::None && tasks >= spec.tasks;
}

std::string cursorOf(const std::string &key)
{
    const std::size_t hyphen = key.rfind('-');
    return hyphen == std::string::npos ? key : key.substr(0, hyphen + 1 + CursorDigits);
}

} // namespace

struct JobService::Submission {
    CallerKey caller;
    JobRecord record;
    HttpRespond respond;
};

struct JobService::Listing {
    CallerKey caller;
    std::vector<DataCentreId> dataCentres;
    std::string after;
    /** Where the next call continues; never contains the complete id of another caller's job. */
    std::string cursor;
    std::int64_t limit = 0;
    int pages = 0;
    Json jobs = Json::array();
    HttpRespond respond;
};

std::optional<ErrorBody> checkJobFeasible(const JobSpec &spec,
                                          const OrganisationId &organisation,
                                          const Document &document)
{
    const OrganisationSpec *owner = document.findOrganisation(organisation);
    if (owner != nullptr && owner->quota.count() > 0 && spec.accelerators * spec.tasks > owner->quota) {
        return ErrorBody{"over-quota",
                         Outcome::Rejected,
                         "the job needs more accelerators than the accelerator_quota of its organisation",
                         0};
    }
    const bool fits
        = std::any_of(document.dataCentres.begin(), document.dataCentres.end(), [&spec](const DataCentreSpec &item) {
              return (spec.dataCentre.empty() || item.id == spec.dataCentre) && fitsDataCentre(item, spec);
          });
    if (!fits) {
        return ErrorBody{
            "can-never-run", Outcome::Rejected, "no data centre is large enough for all tasks at the same time", 0};
    }
    return std::nullopt;
}

JobService::JobService(JobServiceParts parts)
    : m_parts(std::move(parts))
{
}

HttpRespond JobService::trackInProgress(HttpRespond respond)
{
    ++m_inProgress;
    return [this, respond = std::move(respond)](HttpResponse response) {
        --m_inProgress;
        respond(std::move(response));
    };
}

void JobService::refuse(const CallerKey &caller, const ErrorBody &error, const HttpRespond &respond)
{
    m_parts.counters.count(
        caller, CountAs::RefusedNotRun, [respond, response = errorResponse(error)] { respond(response); });
}

void JobService::submit(const CallerKey &caller, const std::string &body, HttpRespond respondHook)
{
    const HttpRespond respond = trackInProgress(std::move(respondHook));
    if (const auto refusal = m_parts.admit(caller)) {
        refuse(caller, *refusal, respond);
        return;
    }
    ProtocolError error;
    const auto json = parseJson(body, MaximumJobBytes, error);
    if (!json) {
        respond(errorResponse({"invalid", Outcome::Rejected, error.reason, 0}));
        return;
    }
    JsonReader reader(*json, {}, error);
    JobSpec spec = JobSpec::fromJson(reader);
    reader.rejectUnknownFields();
    const auto document = m_parts.document();
    if (!reader.failed() && !spec.dataCentre.empty() && document->findDataCentre(spec.dataCentre) == nullptr) {
        reader.fault("dataCentre", "expected a data centre that the document declares");
    }
    if (!reader.failed() && spec.key.value().find('/') != std::string::npos) {
        reader.fault("key", "expected a key without '/'");
    }
    if (reader.failed()) {
        respond(errorResponse({"invalid", Outcome::Rejected, error.reason, 0}));
        return;
    }
    if (const auto refusal = checkJobFeasible(spec, caller.organisation, *document)) {
        refuse(caller, *refusal, respond);
        return;
    }
    const auto submission = std::make_shared<Submission>();
    submission->caller = caller;
    submission->respond = respond;
    JobRecord &record = submission->record;
    record.dataCentre = spec.dataCentre.empty() ? m_parts.dataCentre : spec.dataCentre;
    record.id = JobId(record.dataCentre.value() + "-" + m_parts.hooks.randomHex(16));
    record.organisation = caller.organisation;
    record.caller = caller.caller;
    record.submittedUnixMs = toUnixMs(m_parts.hooks.clock.wallNow());
    record.operation = OperationId(m_parts.hooks.randomHex(OperationIdBytes));
    record.spec = std::move(spec);
    write(submission);
}

void JobService::write(const std::shared_ptr<Submission> &submission)
{
    const JobRecord &record = submission->record;
    TableTransaction transaction;
    transaction.operation = record.operation;
    const std::string row = jobRowKey(record.dataCentre, record.id);
    transaction.conditions.push_back({row, RowVersion(0)});
    transaction.puts.push_back({row, encodeMessage(record)});
    if (!record.spec.key.empty()) {
        const std::string key = jobKeyRow(submission->caller, record.spec.key);
        transaction.conditions.push_back({key, RowVersion(0)});
        transaction.puts.push_back({key, record.id.value()});
    }
    m_parts.store.commit(
        std::move(transaction),
        m_parts.hooks.clock.now() + StoreCallTimeout,
        [this, submission](std::optional<TableTransactionResult> result, const CoordinationError &error) {
            m_parts.hooks.post(
                [this, submission, result = std::move(result), error] { onWritten(submission, result, error); });
        });
}

void JobService::onWritten(const std::shared_ptr<Submission> &submission,
                           const std::optional<TableTransactionResult> &result,
                           const CoordinationError &error)
{
    if (result && result->committed) {
        accept(submission, submission->record);
        return;
    }
    if (result && !submission->record.spec.key.empty()) {
        findExistingJob(submission);
        return;
    }
    if (!result && (error.code == CoordinationCode::StoreUnavailable || error.code == CoordinationCode::OverBudget)) {
        refuse(submission->caller,
               {"cut-off", Outcome::NotRun, "the store is unavailable; the job was not accepted; retry later", 1000},
               submission->respond);
        return;
    }
    readBackJob(submission);
}

void JobService::findExistingJob(const std::shared_ptr<Submission> &submission)
{
    m_parts.store.read({jobKeyRow(submission->caller, submission->record.spec.key)},
                       m_parts.hooks.clock.now() + StoreCallTimeout,
                       [this, submission](std::optional<TableRows> rows, const CoordinationError &) {
                           m_parts.hooks.post([this, submission, rows = std::move(rows)] {
                               if (!rows || rows->rows.empty() || rows->rows.front().version == RowVersion(0)) {
                                   submission->respond(readFailed());
                                   return;
                               }
                               readJob(
                                   JobId(rows->rows.front().value),
                                   [this, submission](bool known, const std::optional<JobRecord> &record, RowVersion) {
                                       if (!known || !record) {
                                           submission->respond(readFailed());
                                           return;
                                       }
                                       accept(submission, *record);
                                   });
                           });
                       });
}

void JobService::readBackJob(const std::shared_ptr<Submission> &submission)
{
    readJob(submission->record.id, [this, submission](bool known, const std::optional<JobRecord> &record, RowVersion) {
        if (known && record) {
            accept(submission, *record);
            return;
        }
        const std::string advice = submission->record.spec.key.empty()
            ? "query GET /v1/jobs/" + submission->record.id.value()
            : "submit again with the same key";
        submission->respond(
            errorResponse({"outcome-unknown", Outcome::Unknown, "the answer of the store was lost; " + advice, 1000}));
    });
}

void JobService::accept(const std::shared_ptr<Submission> &submission, const JobRecord &record)
{
    m_parts.jobChanged(record.dataCentre, record.id);
    logEvent(LogLevel::Info,
             "job-accepted",
             {{"job", record.id}, {"organisation", record.organisation}, {"caller", record.caller}});
    submission->respond(jsonResponse(202, jobToJson(record).dump(-1, ' ', false, Json::error_handler_t::replace)));
}

void JobService::readJob(const JobId &id, RowDone done)
{
    const std::optional<DataCentreId> dataCentre = dataCentreOfJob(id);
    if (!dataCentre) {
        done(true, std::nullopt, RowVersion(0));
        return;
    }
    m_parts.store.read({jobRowKey(*dataCentre, id)},
                       m_parts.hooks.clock.now() + StoreCallTimeout,
                       [this, done = std::move(done)](std::optional<TableRows> rows, const CoordinationError &) {
                           m_parts.hooks.post([done, rows = std::move(rows)] {
                               if (!rows || rows->rows.empty()) {
                                   done(false, std::nullopt, RowVersion(0));
                                   return;
                               }
                               const TableRow &row = rows->rows.front();
                               ProtocolError error;
                               done(true,
                                    row.version == RowVersion(0) ? std::nullopt
                                                                 : decodeMessage<JobRecord>(row.value, error),
                                    row.version);
                           });
                       });
}

void JobService::get(const CallerKey &caller, const JobId &id, HttpRespond respondHook)
{
    const HttpRespond respond = trackInProgress(std::move(respondHook));
    readJob(id, [caller, respond](bool known, const std::optional<JobRecord> &record, RowVersion) {
        if (!known) {
            respond(readFailed());
            return;
        }
        if (!record || !belongsTo(*record, caller)) {
            respond(notFound());
            return;
        }
        respond(jsonResponse(200, jobToJson(*record).dump(-1, ' ', false, Json::error_handler_t::replace)));
    });
}

void JobService::cancel(const CallerKey &caller, const JobId &id, HttpRespond respondHook)
{
    writeCancel(caller, id, MaximumCancelAttempts, trackInProgress(std::move(respondHook)));
}

void JobService::writeCancel(const CallerKey &caller, const JobId &id, int attemptsLeft, const HttpRespond &respond)
{
    readJob(id, [=, this](bool known, const std::optional<JobRecord> &found, RowVersion version) {
        if (!known) {
            respond(readFailed());
            return;
        }
        if (!found || !belongsTo(*found, caller)) {
            respond(notFound());
            return;
        }
        if (isTerminal(found->state) || found->cancelRequested) {
            respond(jsonResponse(200, jobToJson(*found).dump(-1, ' ', false, Json::error_handler_t::replace)));
            return;
        }
        JobRecord record = *found;
        record.cancelRequested = true;
        record.operation = OperationId(m_parts.hooks.randomHex(OperationIdBytes));
        const std::string key = jobRowKey(record.dataCentre, record.id);
        TableTransaction transaction{record.operation, {{key, version}}, {{key, encodeMessage(record)}}, {}};
        m_parts.store.commit(
            std::move(transaction),
            m_parts.hooks.clock.now() + StoreCallTimeout,
            [=, this](std::optional<TableTransactionResult> result, const CoordinationError &) {
                m_parts.hooks.post([=, this, committed = result && result->committed, answered = result.has_value()] {
                    if (committed) {
                        m_parts.jobChanged(record.dataCentre, record.id);
                        respond(
                            jsonResponse(202, jobToJson(record).dump(-1, ' ', false, Json::error_handler_t::replace)));
                        return;
                    }
                    if (attemptsLeft > 1 && answered) {
                        writeCancel(caller, id, attemptsLeft - 1, respond);
                        return;
                    }
                    respond(errorResponse(
                        {"outcome-unknown", Outcome::Unknown, "the cancellation may not be stored; retry", 1000}));
                });
            });
    });
}

void JobService::list(const CallerKey &caller, const std::string &after, std::int64_t limit, HttpRespond respondHook)
{
    const auto listing = std::make_shared<Listing>();
    listing->caller = caller;
    listing->after = after;
    listing->limit = limit;
    listing->respond = trackInProgress(std::move(respondHook));
    listPage(listing);
}

void JobService::listPage(const std::shared_ptr<Listing> &listing)
{
    TableScan scan;
    scan.prefix = "jobs/";
    scan.after = listing->after;
    scan.limit = RowsPerPage;
    m_parts.store.scan(std::move(scan),
                       m_parts.hooks.clock.now() + StoreCallTimeout,
                       [this, listing](std::optional<TableRows> rows, const CoordinationError &) {
                           m_parts.hooks.post([this, listing, rows = std::move(rows)] { onPage(listing, rows); });
                       });
}

void JobService::onPage(const std::shared_ptr<Listing> &listing, const std::optional<TableRows> &rows)
{
    if (!rows) {
        listing->respond(readFailed());
        return;
    }
    bool full = false;
    for (const TableRow &row : rows->rows) {
        if (static_cast<std::int64_t>(listing->jobs.size()) >= listing->limit) {
            full = true;
            break;
        }
        listing->after = row.key;
        listing->cursor = cursorOf(row.key);
        ProtocolError error;
        const auto record = decodeMessage<JobRecord>(row.value, error);
        if (record && belongsTo(*record, listing->caller)) {
            listing->cursor = row.key;
            listing->jobs.push_back(jobToJson(*record));
        }
    }
    const bool more = full || rows->more;
    if (more && !full && ++listing->pages < PagesPerCall) {
        listPage(listing);
        return;
    }
    Json answer = {{"jobs", std::move(listing->jobs)}};
    if (more) {
        answer["next"] = listing->cursor;
    }
    listing->respond(jsonResponse(200, answer.dump(-1, ' ', false, Json::error_handler_t::replace)));
}

std::size_t JobService::inProgress() const
{
    return m_inProgress;
}

} // namespace coriander
