#pragma once

#include "corianderscale/Protocol/CallerMessages.h"

#include <map>
#include <string>
#include <vector>

namespace coriander {

/** Resource usage: quantity of each resource, in its unit, times the duration of use in ms. */
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
    /** Set by a gateway to make the owner end the job. */
    bool cancelRequested = false;
    /** Stable code of the last change, and its reason in words. */
    std::string code;
    std::string reason;
    /** Number of starts of the gang; part of its task ids. */
    std::int64_t attempt = 0;
    std::vector<TaskPlacement> placements;
    /** Whether the running gang uses the organisation's guarantee; otherwise it borrows and can be preempted. */
    bool guaranteed = false;
    bool checkpointed = false;
    std::int64_t submittedUnixMs = 0;
    std::int64_t startedUnixMs = 0;
    std::int64_t endedUnixMs = 0;
    /** Totals over all attempts; final when the state is terminal. */
    UsageTotals guaranteedUsage;
    UsageTotals borrowedUsage;
    /** The write that created this version; lets a writer recognise its own write when the response was lost. */
    OperationId operation;

    Json toJson() const;
    static JobRecord fromJson(JsonReader &reader);
};

enum class RequestState {
    /** Claimed; the attempt may be running. */
    Claimed,
    Finished,
    /** The endpoint responded with an error of the work itself. */
    Failed,
    NotRun,
    /** It can no longer be determined whether the request ran. */
    Unknown,
};

std::string toText(RequestState state);

/** Row `requests/<org>/<caller>/<key>`: claim and outcome of a non-idempotent request, or a stored late answer. */
struct RequestRecord {
    OrganisationId organisation;
    CallerId caller;
    RequestKey key;
    ServiceName service;
    /** Digest of the caller's body; reusing the key with a different body is refused. */
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
    /** HTTP status of the endpoint's answer. */
    std::int64_t answerStatus = 0;
    /** The answer, up to MaximumInlineAnswerBytes; a larger one is in the object store under @c answerObject. */
    std::string answer;
    std::string answerObject;
    std::string answerDigest;
    std::string code;
    std::string reason;
    OperationId operation;

    Json toJson() const;
    static RequestRecord fromJson(JsonReader &reader);
};

/** Limit on an answer that is stored in the row, in bytes; larger ones are stored in the object store. */
inline constexpr std::size_t MaximumInlineAnswerBytes = 24 * 1024;

/** Numbers of accepted items, and of items by outcome. */
struct ItemCounts {
    std::int64_t accepted = 0;
    std::int64_t finished = 0;
    std::int64_t failed = 0;
    std::int64_t refusedNotRun = 0;
    std::int64_t cancelled = 0;
    std::int64_t unknown = 0;

    ItemCounts &operator+=(const ItemCounts &other);
    /** Sets each count to the larger of both; correct for copies of cumulative counts, which never decrease. */
    void mergeLarger(const ItemCounts &other);
    bool operator==(const ItemCounts &) const = default;
    Json toJson() const;
    static ItemCounts fromJson(JsonReader &reader);
};

/** Organisation and caller; the key of all totals. */
struct CallerKey {
    OrganisationId organisation;
    CallerId caller;

    auto operator<=>(const CallerKey &) const = default;
};

/** Row `counts/<day>/<gateway incarnation>`: cumulative counts of idempotent requests and of refusals. */
struct CountsRecord {
    /** Calendar day in the site's time zone, `YYYY-MM-DD`. */
    std::string day;
    InstanceId gateway;
    std::map<CallerKey, ItemCounts> counts;
    /** Whether the counts are final: the gateway will not update this row again. */
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

/** Cumulative usage of one task that a usage row includes; kept until the worker has released the task. */
struct CountedTask {
    TaskId task;
    CallerKey caller;
    /** Whether the task used its organisation's guarantee. */
    bool guaranteed = false;
    /** Sequence number of the last report that was counted; 0 for none. */
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
    /** Highest sequence number of the reports included. */
    std::int64_t sequence = 0;
    std::map<CallerKey, CallerUsage> usage;
    /** Usage already counted for tasks that the worker may report again, so that a new owner counts each report once.
     */
    std::vector<CountedTask> tasks;
    std::int64_t reportedUnixMs = 0;

    Json toJson() const;
    static UsageRecord fromJson(JsonReader &reader);
};

/** Row `config/<env>/head`: the newest document version. Row `config/<env>/v/<n>` holds the text of version n. */
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
    /** Length of the term in ms. A challenger may take over after the row was unchanged this long by its own clock. */
    std::int64_t termMs = 0;
    /** Set by an owner that shuts down gracefully: a challenger may take over at once. */
    bool released = false;
    OperationId operation;

    Json toJson() const;
    static OwnerRecord fromJson(JsonReader &reader);
};

/** Row keys of the table service. */
std::string jobRowKey(const DataCentreId &dataCentre, const JobId &job);
std::string requestRowKey(const OrganisationId &organisation, const CallerId &caller, const RequestKey &key);
std::string countsRowKey(const std::string &day, const InstanceId &gateway);
std::string usageRowKey(const UsageRecord &record);
std::string documentHeadKey(const std::string &environment);
std::string documentVersionKey(const std::string &environment, DocumentVersion version);
std::string ownerRowKey(const DataCentreId &dataCentre);

/** Returns the data centre in a job id, or no value when the id is malformed. */
std::optional<DataCentreId> dataCentreOfJob(const JobId &job);

/** Returns a new random job id in the data centre. */
JobId makeJobId(const DataCentreId &dataCentre);

} // namespace coriander
