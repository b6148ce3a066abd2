#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coriander::workflow {

struct ModelWorker {
    int cores = 0;
    int accelerators = 0;
    int rack = 0;
    std::string label;
};

struct ModelStep {
    std::size_t tasks = 1;
    int cores = 1;
    int accelerators = 0;
    int workMs = 1000;
    int estimateMs = 1000;
    /** Runs of each task that fail before one completes. */
    int failures = 0;
    std::vector<std::size_t> after;
    bool gang = false;
    bool sameRack = false;
    bool lasts = false;
    std::string label;
    std::string dataRack;
    std::size_t maximumPerWorker = 0;
    bool usesIdleCores = false;
};

struct ModelJob {
    int priority = 0;
    std::size_t occurrences = 0;
    int firstDueMs = 0;
    int intervalMs = 0;
    std::vector<ModelStep> steps;
    /** Whether the job can never be done, or lasts, so that it has to be cancelled at the end. */
    bool neverEnds = false;
};

enum class ModelEventKind {
    Submit,
    Cancel,
    CutWorker,
    CrashWorker,
    StoreDown,
    ReplaceOwner,
    FaultyOrders,
    /** The queue of a priority is not configured for a while. */
    RemoveQueue,
    /** The answers of the advisor are lost for a while. */
    SilentAdvisor,
};

/** Something that happens to the scheduler at a time of the history. */
struct ModelEvent {
    int atMs = 0;
    ModelEventKind kind = ModelEventKind::Submit;
    /** Number of the job or of the worker, or the priority of the queue. */
    std::size_t subject = 0;
    /** How long a fault lasts. */
    int lengthMs = 0;
    /** The job of a Submit. */
    ModelJob job;
    /** What the process of a worker after a CrashWorker is. */
    ModelWorker worker;
};

/** A run of the engine as data: the same history always gives the same run. */
struct ModelHistory {
    std::uint32_t seed = 1;
    std::vector<ModelWorker> workers;
    std::vector<ModelEvent> events;
    /** Whether all queues need advice. */
    bool advised = false;
};

/** Length of the part of a history that has events. */
constexpr int HistoryMs = 40000;

ModelHistory generateHistory(std::uint32_t seed);

/** A history in which all queues need advice, with large jobs that wait for whole workers beside the other jobs. */
ModelHistory generateAdvisedHistory(std::uint32_t seed);

/** The history as an expression of C++. */
std::string printHistory(const ModelHistory &history);

} // namespace coriander::workflow
