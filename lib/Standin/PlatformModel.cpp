#include "corianderscale/Standin/PlatformModel.h"

#include "corianderscale/Protocol/CallerMessages.h"

#include <fmt/format.h>

#include <algorithm>

namespace coriander {

namespace {

/**
 * Maximum size of the keys and values in the response to a scan. A longer result is truncated to stay below the size
 * limit of messages; the client continues the scan after the last row.
 */
constexpr std::size_t MaximumScanBytes = 2 * 1024 * 1024;
constexpr std::size_t MaximumObjectBytes = 7 * 1024 * 1024;
/** Delay of the responses in the mode lose-answers. It exceeds the timeout of every client. */
constexpr Duration LostResponseDelay = std::chrono::seconds(30);
/** Delay of the responses in the mode slow when a request for a fault gives none. */
constexpr std::int64_t DefaultFaultDelayMs = 1500;
/** Maximum duration of a fault, and its duration when a request gives none. */
constexpr std::int64_t MaximumFaultDurationMs = 24 * 3600 * 1000;

HttpResponse invalid(const std::string &reason)
{
    return jsonResponse(400, encodeMessage(ErrorBody{"invalid", Outcome::Rejected, reason, 0}));
}

HttpResponse unavailable(const std::string &reason)
{
    HttpResponse response = jsonResponse(503, encodeMessage(ErrorBody{"overloaded", Outcome::Rejected, reason, 1000}));
    response.headers.emplace("Retry-After", "1");
    return response;
}

HttpResponse notFound()
{
    return jsonResponse(404, encodeMessage(ErrorBody{"not-found", Outcome::Rejected, "object not found", 0}));
}

/** Returns the first segment of the path: `table`, `objects`, `vms` or `standin`. */
std::string serviceOf(const std::string &path)
{
    return path.substr(1, path.find('/', 1) - 1);
}

} // namespace

bool PlatformModel::TokenBucket::tryTake(std::int64_t perSecond, MonotonicTime now)
{
    const auto rate = static_cast<double>(perSecond);
    tokens = std::min(rate, tokens + rate * std::chrono::duration<double>(now - refilledAt).count());
    refilledAt = now;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

PlatformModel::PlatformModel(PlatformOptions options)
    : m_options(options)
{
    m_writeBucket.tokens = static_cast<double>(options.writesPerSecond);
    m_readBucket.tokens = static_cast<double>(options.readsPerSecond);
}

TimedResponse PlatformModel::handle(const HttpRequest &request,
                                    const std::vector<std::string> &captures,
                                    MonotonicTime now)
{
    const std::string service = serviceOf(request.path);
    if (service == "standin") {
        return {setFault(request, now), now};
    }
    const FaultMode fault = activeFault(service, now);
    if (fault == FaultMode::Down) {
        return {unavailable("the service is unavailable because of an injected fault"), now};
    }
    HttpResponse response = service == "table" ? handleTable(request, now)
        : service == "objects"                 ? handleObjects(request, captures)
                                               : handleVms(request, now);
    if (fault == FaultMode::Slow) {
        return {std::move(response), now + m_fault.delay};
    }
    if (fault == FaultMode::LoseAnswers) {
        return {jsonResponse(504, {}), now + LostResponseDelay};
    }
    return {std::move(response), now};
}

HttpResponse PlatformModel::handleTable(const HttpRequest &request, MonotonicTime now)
{
    const bool write = request.path == "/table/txn";
    if (write ? !m_writeBucket.tryTake(m_options.writesPerSecond, now)
              : !m_readBucket.tryTake(m_options.readsPerSecond, now)) {
        return unavailable(write ? "write rate limit exceeded" : "read rate limit exceeded");
    }
    if (write) {
        return transact(request.body, now);
    }
    return request.path == "/table/read" ? readRows(request.body) : scanRows(request.body);
}

HttpResponse PlatformModel::transact(const std::string &body, MonotonicTime now)
{
    ProtocolError error;
    const auto transaction = decodeMessage<TableTransaction>(body, error);
    if (!transaction) {
        return invalid(error.reason);
    }
    const TableTransactionResult result = m_table.commit(*transaction, now);
    return jsonResponse(result.committed ? 200 : 409, encodeMessage(result));
}

HttpResponse PlatformModel::readRows(const std::string &body) const
{
    ProtocolError error;
    const auto read = decodeMessage<TableRead>(body, error);
    return read ? jsonResponse(200, encodeMessage(m_table.read(*read))) : invalid(error.reason);
}

HttpResponse PlatformModel::scanRows(const std::string &body) const
{
    ProtocolError error;
    const auto scan = decodeMessage<TableScan>(body, error);
    if (!scan) {
        return invalid(error.reason);
    }
    TableRows found = m_table.scan(*scan);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < found.rows.size(); ++i) {
        bytes += found.rows[i].key.size() + found.rows[i].value.size();
        if (i > 0 && bytes > MaximumScanBytes) {
            found.rows.resize(i);
            found.more = true;
        }
    }
    return jsonResponse(200, encodeMessage(found));
}

HttpResponse PlatformModel::handleObjects(const HttpRequest &request, const std::vector<std::string> &captures)
{
    if (captures.empty()) {
        const std::string prefix = request.parameter("prefix");
        Json keys = Json::array();
        for (auto object = m_objects.lower_bound(prefix);
             object != m_objects.end() && object->first.compare(0, prefix.size(), prefix) == 0;
             ++object) {
            keys.push_back(object->first);
        }
        return jsonResponse(200, Json{{"keys", std::move(keys)}}.dump());
    }
    const std::string &key = captures.front();
    if (request.method == "PUT") {
        if (request.body.size() > MaximumObjectBytes) {
            return invalid(fmt::format("expected an object of at most {} bytes", MaximumObjectBytes));
        }
        m_objects[key] = request.body;
        return jsonResponse(200, "{}");
    }
    if (request.method == "DELETE") {
        m_objects.erase(key);
        return jsonResponse(200, "{}");
    }
    const auto object = m_objects.find(key);
    if (object == m_objects.end()) {
        return notFound();
    }
    HttpResponse response;
    response.body = object->second;
    return response;
}

HttpResponse PlatformModel::handleVms(const HttpRequest &request, MonotonicTime now)
{
    if (request.method == "GET") {
        return listVms(now);
    }
    ProtocolError error;
    const auto entry = decodeMessage<VmEntry>(request.body, error);
    if (!entry) {
        return invalid(error.reason);
    }
    m_announcements[entry->id].push_back({now, *entry});
    return jsonResponse(200, "{}");
}

HttpResponse PlatformModel::listVms(MonotonicTime now)
{
    const MonotonicTime asOf = now - m_options.vmListLag;
    VmList list;
    for (auto vm = m_announcements.begin(); vm != m_announcements.end();) {
        std::deque<Announcement> &history = vm->second;
        while (history.size() > 1 && history[1].at <= asOf) {
            history.pop_front();
        }
        const bool expired = asOf - history.front().at > m_options.vmTimeout;
        if (history.front().at <= asOf && !expired) {
            list.vms.push_back(history.front().entry);
        }
        vm = expired && history.size() == 1 ? m_announcements.erase(vm) : std::next(vm);
    }
    return jsonResponse(200, encodeMessage(list));
}

HttpResponse PlatformModel::setFault(const HttpRequest &request, MonotonicTime now)
{
    static const std::map<std::string, FaultMode> Modes = {{"none", FaultMode::None},
                                                           {"down", FaultMode::Down},
                                                           {"slow", FaultMode::Slow},
                                                           {"lose-answers", FaultMode::LoseAnswers}};
    ProtocolError error;
    const std::optional<Json> json = parseJson(request.body, MaximumMessageBytes, error);
    if (!json) {
        return invalid(error.reason);
    }
    JsonReader reader(*json, {}, error);
    const auto mode = Modes.find(reader.requiredText("mode"));
    if (mode == Modes.end()) {
        reader.fault("mode", "expected none, down, slow or lose-answers");
    }
    Fault fault;
    fault.until
        = now + std::chrono::milliseconds(reader.integer("forMs", MaximumFaultDurationMs, 0, MaximumFaultDurationMs));
    fault.delay = std::chrono::milliseconds(reader.integer("delayMs", DefaultFaultDelayMs, 0, 60000));
    reader.forEachText("services", [&fault](const std::string &service) { fault.services.insert(service); });
    reader.rejectUnknownFields();
    if (reader.failed()) {
        return invalid(error.reason);
    }
    if (fault.services.empty()) {
        fault.services = {"table", "objects"};
    }
    fault.mode = mode->second;
    m_fault = std::move(fault);
    return jsonResponse(200, "{}");
}

PlatformModel::FaultMode PlatformModel::activeFault(const std::string &service, MonotonicTime now) const
{
    const bool active = now < m_fault.until && m_fault.services.count(service) > 0;
    return active ? m_fault.mode : FaultMode::None;
}

} // namespace coriander
