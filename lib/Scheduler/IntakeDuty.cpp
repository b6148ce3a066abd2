#include "corianderscale/Scheduler/IntakeDuty.h"

#include "corianderscale/Support/Log.h"

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

constexpr std::size_t HintCapacity = 16384;
constexpr Duration QueueWait = std::chrono::milliseconds(50);
constexpr Duration ReadTimeout = std::chrono::seconds(5);
/** Interval between reads of the document head row; docs/design.md, section 9. */
constexpr Duration DocumentInterval = std::chrono::seconds(2);
/** Rows of one read call. */
constexpr std::size_t MaximumHintsPerRead = 100;

} // namespace

IntakeDuty::IntakeDuty(Settings settings, Store &store, Clock clock, IntakeOutputs outputs)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_clock(std::move(clock))
    , m_outputs(std::move(outputs))
    , m_hints(HintCapacity)
{
}

IntakeDuty::~IntakeDuty()
{
    stop();
}

void IntakeDuty::start()
{
    m_thread = std::make_unique<DutyThread>("intake", [this] { step(); });
}

void IntakeDuty::stop()
{
    m_thread.reset();
}

void IntakeDuty::hint(JobId job)
{
    // If the ring is full the hint is dropped; the next scan reads the row.
    m_hints.push(std::move(job));
}

void IntakeDuty::step()
{
    std::vector<std::string> keys;
    for (std::optional<JobId> job = m_hints.pop(QueueWait); job; job = m_hints.tryPop()) {
        keys.push_back(jobRowKey(m_settings.dataCentre, *job));
        if (keys.size() == MaximumHintsPerRead) {
            break;
        }
    }
    if (!keys.empty()) {
        readHinted(std::move(keys));
    }
    const MonotonicTime now = m_clock.now();
    if (m_nextDocument <= now) {
        m_nextDocument = now + DocumentInterval;
        readDocument();
    }
    const bool owns = m_outputs.owns();
    if (owns && (m_nextScan <= now || !m_ownedAtLastStep)) {
        m_nextScan = now + m_settings.scanInterval;
        scan();
    }
    m_ownedAtLastStep = owns;
}

void IntakeDuty::readHinted(std::vector<std::string> keys)
{
    m_store.read(std::move(keys),
                 m_clock.now() + ReadTimeout,
                 [this](const std::optional<TableRows> &rows, const CoordinationError &error) {
                     if (!rows) {
                         logEvent(LogLevel::Warning, "hint-not-read", {{"reason", error.reason}});
                         return;
                     }
                     std::for_each(
                         rows->rows.begin(), rows->rows.end(), [this](const TableRow &row) { handleRow(row); });
                 });
}

void IntakeDuty::scan()
{
    CoordinationError error;
    const auto rows
        = scanAllAndWait(m_store, "jobs/" + m_settings.dataCentre.value() + "/", m_clock.now() + ReadTimeout, error);
    if (!rows) {
        logEvent(LogLevel::Warning, "scan-failed", {{"reason", error.reason}});
        return;
    }
    std::for_each(rows->begin(), rows->end(), [this](const TableRow &row) { handleRow(row); });
}

void IntakeDuty::handleRow(const TableRow &row)
{
    if (row.version == RowVersion()) {
        return;
    }
    ProtocolError error;
    const std::optional<JobRecord> record = decodeMessage<JobRecord>(row.value, error);
    if (!record) {
        logEvent(LogLevel::Error, "job-row-invalid", {{"key", row.key}, {"reason", error.reason}});
        return;
    }
    m_outputs.job(*record, row.version);
}

void IntakeDuty::readDocument()
{
    CoordinationError error;
    const auto rows
        = readAndWait(m_store, {documentHeadKey(m_settings.environment)}, m_clock.now() + ReadTimeout, error);
    if (!rows || rows->rows.front().version == RowVersion()) {
        return;
    }
    ProtocolError invalid;
    const auto head = decodeMessage<DocumentHead>(rows->rows.front().value, invalid);
    if (!head) {
        logEvent(LogLevel::Error, "document-head-invalid", {{"reason", invalid.reason}});
        return;
    }
    if (head->version > m_documentVersion) {
        readVersion(head->version);
    }
}

void IntakeDuty::readVersion(DocumentVersion version)
{
    const std::string key = documentVersionKey(m_settings.environment, version);
    CoordinationError error;
    const auto rows = readAndWait(m_store, {key}, m_clock.now() + ReadTimeout, error);
    if (!rows || rows->rows.front().version == RowVersion()) {
        return;
    }
    std::vector<YamlFault> faults;
    const std::optional<Document> document = parseDocument(rows->rows.front().value, key, faults);
    if (!document) {
        logEvent(LogLevel::Error,
                 "document-invalid",
                 {{"version", version}, {"reason", faults.empty() ? "unknown" : faults.front().toString()}});
        return;
    }
    m_documentVersion = version;
    logEvent(LogLevel::Info, "document-in-force", {{"version", version}});
    m_outputs.document(*document, version);
}

} // namespace coriander
