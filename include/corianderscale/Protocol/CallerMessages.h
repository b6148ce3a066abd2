#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <string>
#include <vector>

namespace coriander {

/** Urgency class of a job or request, most urgent first. */
enum class Urgency {
    Urgent,
    Normal,
    Background,
};

/** How close together the accelerators of a gang must be. */
enum class Adjacency {
    /** Anywhere in the data centre. */
    None,
    /** In one rack. */
    Rack,
    /** On one worker. */
    Worker,
};

std::string toText(Urgency urgency);
std::string toText(Adjacency adjacency);
std::optional<Urgency> parseUrgency(std::string_view text);
std::optional<Adjacency> parseAdjacency(std::string_view text);

/** Limit on the tasks of one gang. */
inline constexpr std::int64_t MaximumGangTasks = 64;

/** Body of `POST /v1/jobs`: a gang of identical tasks that start and stop together. */
struct JobSpec {
    /** Class of jobs of one caller with similar run times. */
    std::string kind;
    std::int64_t tasks = 1;
    /** Declared resources of one task. */
    MilliCores cores;
    MemoryMib memory;
    Accelerators accelerators;
    Adjacency adjacency = Adjacency::None;
    Urgency urgency = Urgency::Normal;
    /** Declared run time in ms; 0 when unknown. */
    std::int64_t expectedRunMs = 0;
    /** Deadline for the job to finish, in ms since the Unix epoch; 0 for none. */
    std::int64_t deadlineUnixMs = 0;
    /** Whether the tasks can checkpoint. */
    bool canCheckpoint = false;
    /** Whether the job claims the organisation's guarantee. */
    bool useGuarantee = false;
    /** Command that the workers run. */
    std::string command;
    /** Preferred data centre; empty for any. */
    DataCentreId dataCentre;
    /** Idempotency key chosen by the caller; submitting a key again returns the first job. */
    RequestKey key;

    Json toJson() const;
    static JobSpec fromJson(JsonReader &reader);
};

/** State of a job. Finished, Failed, Cancelled and Refused are terminal. */
enum class JobState {
    Queued,
    Starting,
    Running,
    Stopping,
    Finished,
    Failed,
    Cancelled,
    Refused,
};

std::string toText(JobState state);
std::optional<JobState> parseJobState(std::string_view text);

/** Whether a job in this state never changes again. */
bool isTerminal(JobState state);

/** What an error answer tells about whether the work ran; see the section on refusals in docs/design.md. */
enum class Outcome {
    /** The work provably did not run. */
    NotRun,
    /** It is not known whether the work ran; the reason says how to retry. */
    Unknown,
    /** The request was rejected before any attempt was made. */
    Rejected,
};

std::string toText(Outcome outcome);

/** Body of every error response to callers and operators. */
struct ErrorBody {
    /** Stable code, such as `overloaded`; the list is in docs/interfaces.md. */
    std::string code;
    Outcome outcome = Outcome::Rejected;
    std::string reason;
    /** Delay before a retry makes sense, in ms; 0 when not given. */
    std::int64_t retryAfterMs = 0;

    Json toJson() const;
    static ErrorBody fromJson(JsonReader &reader);
};

} // namespace coriander
