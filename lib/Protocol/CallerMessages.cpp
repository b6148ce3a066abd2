#include "corianderscale/Protocol/CallerMessages.h"

#include <algorithm>
#include <array>
#include <utility>

namespace coriander {

namespace {

constexpr std::array UrgencyNames = {
    std::pair{Urgency::Urgent, "urgent"},
    std::pair{Urgency::Normal, "normal"},
    std::pair{Urgency::Background, "background"},
};

constexpr std::array AdjacencyNames = {
    std::pair{Adjacency::None, "none"},
    std::pair{Adjacency::Rack, "rack"},
    std::pair{Adjacency::Worker, "worker"},
};

constexpr std::array JobStateNames = {
    std::pair{JobState::Queued, "queued"},
    std::pair{JobState::Starting, "starting"},
    std::pair{JobState::Running, "running"},
    std::pair{JobState::Stopping, "stopping"},
    std::pair{JobState::Finished, "finished"},
    std::pair{JobState::Failed, "failed"},
    std::pair{JobState::Cancelled, "cancelled"},
    std::pair{JobState::Refused, "refused"},
};

constexpr std::array OutcomeNames = {
    std::pair{Outcome::NotRun, "not-run"},
    std::pair{Outcome::Unknown, "unknown"},
    std::pair{Outcome::Rejected, "rejected"},
};

template<typename Names, typename Value>
std::string nameOf(const Names &names, Value value)
{
    const auto *found
        = std::find_if(names.begin(), names.end(), [value](const auto &entry) { return entry.first == value; });
    return found == names.end() ? "unknown" : found->second;
}

template<typename Names>
auto parseName(const Names &names, std::string_view text)
{
    using Value = typename Names::value_type::first_type;
    const auto *found
        = std::find_if(names.begin(), names.end(), [text](const auto &entry) { return text == entry.second; });
    return found == names.end() ? std::optional<Value>() : std::optional<Value>(found->first);
}

constexpr std::int64_t MaximumMilliCoresPerTask = 1'000'000;
constexpr std::int64_t MaximumMemoryMibPerTask = 64LL * 1024 * 1024;
constexpr std::int64_t MaximumAcceleratorsPerTask = 64;
constexpr std::int64_t MaximumRunMs = 366LL * 24 * 3600 * 1000;
constexpr std::size_t MaximumCommandBytes = 16 * 1024;
constexpr std::size_t MaximumKeyBytes = 128;

} // namespace

std::string toText(Urgency urgency)
{
    return nameOf(UrgencyNames, urgency);
}

std::string toText(Adjacency adjacency)
{
    return nameOf(AdjacencyNames, adjacency);
}

std::string toText(JobState state)
{
    return nameOf(JobStateNames, state);
}

std::string toText(Outcome outcome)
{
    return nameOf(OutcomeNames, outcome);
}

std::optional<Urgency> parseUrgency(std::string_view text)
{
    return parseName(UrgencyNames, text);
}

std::optional<Adjacency> parseAdjacency(std::string_view text)
{
    return parseName(AdjacencyNames, text);
}

std::optional<JobState> parseJobState(std::string_view text)
{
    return parseName(JobStateNames, text);
}

bool isTerminal(JobState state)
{
    return state == JobState::Finished || state == JobState::Failed || state == JobState::Cancelled
        || state == JobState::Refused;
}

Json JobSpec::toJson() const
{
    return {{"kind", kind},
            {"tasks", tasks},
            {"cores", cores.count()},
            {"memoryMb", memory.count()},
            {"accelerators", accelerators.count()},
            {"adjacency", toText(adjacency)},
            {"urgency", toText(urgency)},
            {"expectedRunMs", expectedRunMs},
            {"deadlineUnixMs", deadlineUnixMs},
            {"canCheckpoint", canCheckpoint},
            {"useGuarantee", useGuarantee},
            {"command", command},
            {"dataCentre", dataCentre.value()},
            {"key", key.value()}};
}

JobSpec JobSpec::fromJson(JsonReader &reader)
{
    JobSpec spec;
    spec.kind = reader.text("kind", "default", MaximumKeyBytes);
    spec.tasks = reader.integer("tasks", 1, 1, MaximumGangTasks);
    spec.cores = MilliCores(reader.integer("cores", 1000, 1, MaximumMilliCoresPerTask));
    spec.memory = MemoryMib(reader.integer("memoryMb", 1024, 1, MaximumMemoryMibPerTask));
    spec.accelerators = Accelerators(reader.integer("accelerators", 0, 0, MaximumAcceleratorsPerTask));
    const std::optional<Adjacency> adjacency = parseAdjacency(reader.text("adjacency", "none"));
    if (!adjacency) {
        reader.fault("adjacency", "expected one of: none, rack, worker");
    }
    spec.adjacency = adjacency.value_or(Adjacency::None);
    const std::optional<Urgency> urgency = parseUrgency(reader.text("urgency", "normal"));
    if (!urgency) {
        reader.fault("urgency", "expected one of: urgent, normal, background");
    }
    spec.urgency = urgency.value_or(Urgency::Normal);
    spec.expectedRunMs = reader.integer("expectedRunMs", 0, 0, MaximumRunMs);
    spec.deadlineUnixMs = reader.integer("deadlineUnixMs", 0);
    spec.canCheckpoint = reader.boolean("canCheckpoint", false);
    spec.useGuarantee = reader.boolean("useGuarantee", false);
    spec.command = reader.requiredText("command", MaximumCommandBytes);
    spec.dataCentre = reader.id<DataCentreId>("dataCentre");
    spec.key = RequestKey(reader.text("key", {}, MaximumKeyBytes));
    return spec;
}

Json ErrorBody::toJson() const
{
    Json error = {{"code", code}, {"outcome", toText(outcome)}, {"reason", reason}};
    if (retryAfterMs > 0) {
        error["retryAfterMs"] = retryAfterMs;
    }
    return {{"error", std::move(error)}};
}

ErrorBody ErrorBody::fromJson(JsonReader &reader)
{
    ErrorBody body;
    reader.requiredObject("error", [&body](JsonReader &error) {
        body.code = error.requiredText("code");
        body.outcome = parseName(OutcomeNames, error.requiredText("outcome")).value_or(Outcome::Unknown);
        body.reason = error.text("reason");
        body.retryAfterMs = error.integer("retryAfterMs", 0);
    });
    return body;
}

} // namespace coriander
