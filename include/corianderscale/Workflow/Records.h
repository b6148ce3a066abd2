#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Workflow/JobSpec.h"
#include "corianderscale/Workflow/WorkerMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriander::workflow {

/** @name Tables of the store that this system writes */
///@{
/** Job specifications by id, and cancel requests by cancelKey(); removed when the job has ended. */
inline constexpr const char *JobsTable = "jobs";
/** StateRecord of each job, by job id. */
inline constexpr const char *StatesTable = "states";
/** OccurrenceRecord of each changed occurrence, by progressKey(); removed when the job has ended. */
inline constexpr const char *ProgressTable = "progress";
/** One row for each job of which no run was started, by waitingKey(). */
inline constexpr const char *WaitingTable = "waiting";
/** A single row, the TermRecord, with the key OwnerKey. */
inline constexpr const char *OwnerTable = "owner";
/** MemberRecord of each instance, by the name of its VM. */
inline constexpr const char *MembersTable = "members";
///@}

inline constexpr const char *OwnerKey = "term";

/** Key of the request to cancel a job. */
std::string cancelKey(const JobId &job);
/** The job that a cancel request names, or no value if @p key is the key of a job. */
std::optional<JobId> cancelledJob(const std::string &key);
std::string progressKey(const JobId &job, std::size_t occurrence);
std::string waitingKey(const QueueName &queue, const JobId &job);
/** Prefix of the waiting keys of a queue. */
std::string waitingPrefix(const QueueName &queue);

/** The instance that owns the term, and the number of its last write. */
struct TermRecord {
    /** Empty after the owner released the term. */
    InstanceId holder;
    Epoch epoch;
    /** Incremented by each write of a term, so that an owner recognises its own writes. */
    std::int64_t sequence = 0;
    /** Whether the owner has as many open jobs as it can hold, see decision::JobBacklog. */
    bool backlogFull = false;
};

/** Where an instance takes calls from other instances. */
struct MemberRecord {
    DataCentreId dataCentre;
    /** `IPv4:port`. */
    std::string relayAddress;
};

/** The stored state of a job, as shown to its submitter. */
struct StateRecord {
    JobState state = JobState::Queued;
    QueueName queue;
    OrganisationId organisation;
    /** When the job entered the state. */
    WallTime since;
    /** Whether the job was cancelled before it was stored. The row keeps a submission that is still under way from
     * taking effect; the job is not shown. */
    bool withdrawn = false;
};

enum class TaskPhase {
    Waiting,
    /** Assigned to a worker; a run may exist there. */
    Assigned,
    Done,
};

/** The stored part of a task, which the next owner needs. */
struct TaskRecord {
    TaskPhase phase = TaskPhase::Waiting;
    /** Number of the latest run; 0 before the first. */
    std::int64_t run = 0;
    /** Number of failed runs of the task, or of its gang. */
    int failures = 0;
    /** The run that was last counted in @c failures. */
    std::int64_t lastFailedRun = 0;
    WorkerId worker;
    Incarnation incarnation;
    std::string checkpoint;
};

/** The stored tasks of one step of an occurrence. */
struct StepRecord {
    /** Whether all tasks are done; then the other fields are empty. */
    bool done = false;
    /** Number of tasks; 0 if none was ever assigned, or all are done. */
    std::size_t count = 0;
    /** The tasks that were assigned at some time and are not done, by index. */
    std::map<std::size_t, TaskRecord> tasks;
    /** The tasks that are done, in ascending order. */
    std::vector<std::size_t> doneTasks;
};

/** The stored tasks of one occurrence. */
struct OccurrenceRecord {
    /** By step. */
    std::vector<StepRecord> steps;
    /** Whether the job has failed and its runs are only waited for. */
    bool jobFailed = false;
    /** Whether a run of the job was known to have begun. Earlier versions did not store this. */
    bool jobBegun = false;
};

/** @name Encoding as CBOR; decoding returns no value and the reason if the bytes are not a valid record */
///@{
std::string encodeJob(const JobSpec &job);
std::optional<JobSpec> decodeJob(const std::string &bytes, ProtocolError &error);
std::string encodeState(const StateRecord &record);
std::optional<StateRecord> decodeState(const std::string &bytes, ProtocolError &error);
std::string encodeTerm(const TermRecord &record);
std::optional<TermRecord> decodeTerm(const std::string &bytes, ProtocolError &error);
std::string encodeMember(const MemberRecord &record);
std::optional<MemberRecord> decodeMember(const std::string &bytes, ProtocolError &error);
std::string encodeOccurrence(const OccurrenceRecord &record);
std::optional<OccurrenceRecord> decodeOccurrence(const std::string &bytes, ProtocolError &error);
///@}

} // namespace coriander::workflow
