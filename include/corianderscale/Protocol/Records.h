#pragma once

#include "corianderscale/Protocol/CallerMessages.h"

#include <map>
#include <string>
#include <vector>

namespace coriander {

/** Work done, in ms times the unit. */
struct UsageTotals {
    std::int64_t acceleratorMs = 0;
    std::int64_t coreMs = 0;
    std::int64_t memoryMibMs = 0;

    UsageTotals &operator+=(const UsageTotals &other);
    Json toJson() const;
    static UsageTotals fromJson(JsonReader &reader);
    bool operator==(const UsageTotals &) const = default;
};

/** Where one task of a job runs. */
struct TaskPlacement {
    TaskId task;
    WorkerId worker;

    Json toJson() const;
    static TaskPlacement fromJson(JsonReader &reader);
};

/** Row `jobs/<dc>/<id>`. Every write is conditional on the row's version. */
struct JobRecord {
    JobId id;
    DataCentreId dataCentre;
    OrganisationId organisation;
    CallerId caller;
    JobSpec spec;
    JobState state = JobState::Queued;
    /** Set by a gateway; the owner then ends the job. */
    bool cancelRequested = false;
    /** Stable code and reason of the last change, for people. */
    std::string code;
    std::string reason;
    /** Counts the starts of the gang; part of its task ids. */
    std::int64_t attempt = 0;
    std::vector<TaskPlacement> placements;
    /** Whether the running gang uses the organisation's guarantee; otherwise it is lent and can be preempted. */
    bool guaranteed = false;
    bool checkpointed = false;
    std::int64_t submittedUnixMs = 0;
    std::int64_t startedUnixMs = 0;
    std::int64_t endedUnixMs = 0;
    /** Sums over all attempts, final when the state is terminal. */
    UsageTotals guaranteedUsage;
    UsageTotals borrowedUsage;
    /** The write that made this version; lets a writer recognise its own write after a lost answer. */
    OperationId operation;

    Json toJson() const;
    static JobRecord fromJson(JsonReader &reader);
};

enum class RequestState {
    /** Claimed; the attempt may be under way. */
    Claimed,
    Finished,
    /** The endpoint answered with an error of the work itself. */
    Failed,
    NotRun,
    /** It cannot be found out any more whether the request ran. */
    Unknown,
};

std::string toText(RequestState state);

/** Row `requests/<org>/<caller>/<key>`: claim and outcome of a non-idempotent request, or a kept late answer. */
struct RequestRecord {
    OrganisationId organisation;
    CallerId caller;
    RequestKey key;
    ServiceName service;
    /** Digest of the caller's body; a key used again with another body is refused. */
    std::string bodyDigest;
    RequestState state = RequestState::Claimed;
    AttemptId attempt;
    EndpointId endpoint;
    std::string endpointAddress;
    InstanceId endpointIncarnation;
    /** The endpoint refuses to start the attempt after this time. */
    std::int64_t startByUnixMs = 0;
    /** The gateway that sends the attempt. */
    InstanceId gateway;
    std::int64_t claimedUnixMs = 0;
    std::int64_t endedUnixMs = 0;
    /** Status of the endpoint's answer. */
    std::int64_t answerStatus = 0;
    /** The answer when it is small; otherwise empty and in the object store under @c answerObject. */
    std::string answer;
    std::string answerObject;
    std::string answerDigest;
    std::string code;
    std::string reason;
    OperationId operation;

    Json toJson() const;
    static RequestRecord fromJson(JsonReader &reader);
};

/** Larger answers are kept in the object store. */
inline constexpr std::size_t MaximumInlineAnswerBytes = 24 * 1024;

/** Numbers of items by how they ended. */
struct ItemCounts {
    std::int64_t accepted = 0;
    std::int64_t finished = 0;
    std::int64_t failed = 0;
    std::int64_t refusedNotRun = 0;
    std::int64_t cancelled = 0;
    std::int64_t unknown = 0;

    ItemCounts &operator+=(const ItemCounts &other);
    /** Takes the larger value element by element; cumulative counts never shrink. */
    void mergeLarger(const ItemCounts &other);
    bool operator==(const ItemCounts &) const = default;
    Json toJson() const;
    static ItemCounts fromJson(JsonReader &reader);
};

/** Organisation and caller, the key of all totals. */
struct CallerKey {
    OrganisationId organisation;
    CallerId caller;

    auto operator<=>(const CallerKey &) const = default;
};

/** Row `counts/<day>/<gateway incarnation>`: cumulative counts of idempotent requests and of refusals. */
struct CountsRecord {
    /** Civil day of the site's time zone, `YYYY-MM-DD`. */
    std::string day;
    InstanceId gateway;
    std::map<CallerKey, ItemCounts> counts;
    /** Whether the gateway will never add to this row again. */
    bool closed = false;
    std::int64_t flushedUnixMs = 0;

    Json toJson() const;
    static CountsRecord fromJson(JsonReader &reader);
};

/** Usage of one caller on one worker. */
struct CallerUsage {
    UsageTotals guaranteed;
    UsageTotals borrowed;

    Json toJson() const;
    static CallerUsage fromJson(JsonReader &reader);
};

/** Cumulative use of a task that is contained in a usage row, kept until the worker has released the task. */
struct CountedTask {
    TaskId task;
    CallerKey caller;
    /** Whether the task used its organisation's guarantee. */
    bool guaranteed = false;
    /** Sequence of the last report that was counted; 0 when none was. */
    std::int64_t sequence = 0;
    UsageTotals counted;

    Json toJson() const;
    static CountedTask fromJson(JsonReader &reader);
    bool operator==(const CountedTask &) const = default;
};

/** Row `usage/<dc>/<day>/<worker>/<incarnation>`: cumulative usage reported by one run of a worker. */
struct UsageRecord {
    std::string day;
    DataCentreId dataCentre;
    WorkerId worker;
    InstanceId incarnation;
    /** Highest sequence that is contained. */
    std::int64_t sequence = 0;
    std::map<CallerKey, CallerUsage> usage;
    /** What was counted of tasks that the worker may report again; lets a new owner count each report once. */
    std::vector<CountedTask> tasks;
    std::int64_t reportedUnixMs = 0;

    Json toJson() const;
    static UsageRecord fromJson(JsonReader &reader);
};

/** Row `config/<env>/head`. The text of version n stands in row `config/<env>/v/<n>`. */
struct DocumentHead {
    DocumentVersion version;
    /** SHA-256 of the document's text in lower-case hexadecimal digits. */
    std::string digest;
    std::string operatorName;
    std::int64_t acceptedUnixMs = 0;

    Json toJson() const;
    static DocumentHead fromJson(JsonReader &reader);
};

/** Row `owner/<dc>`. */
struct OwnerRecord {
    InstanceId owner;
    Epoch epoch;
    /** Base address of the owner's HTTP interface, and `address:port` of its peer streams. */
    std::string address;
    std::string peerAddress;
    /** Length of the term in ms; a challenger waits this long on its own clock with the row unchanged. */
    std::int64_t termMs = 0;
    /** Set by a graceful owner: the row may be taken at once. */
    bool released = false;
    OperationId operation;

    Json toJson() const;
    static OwnerRecord fromJson(JsonReader &reader);
};

/** Keys of the rows. */
std::string jobRowKey(const DataCentreId &dataCentre, const JobId &job);
std::string requestRowKey(const OrganisationId &organisation, const CallerId &caller, const RequestKey &key);
std::string countsRowKey(const std::string &day, const InstanceId &gateway);
std::string usageRowKey(const UsageRecord &record);
std::string documentHeadKey(const std::string &environment);
std::string documentVersionKey(const std::string &environment, DocumentVersion version);
std::string ownerRowKey(const DataCentreId &dataCentre);

/** The data centre that is part of a job id, or no value when the id is malformed. */
std::optional<DataCentreId> dataCentreOfJob(const JobId &job);

/** A new random job id of the data centre. */
JobId makeJobId(const DataCentreId &dataCentre);

} // namespace coriander
