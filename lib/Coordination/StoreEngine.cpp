#include "corianderscale/Coordination/StoreEngine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace coriander {

namespace {

constexpr int Ok = 200;
constexpr int FirstRedirect = 300;
constexpr int NotFound = 404;
constexpr int Conflict = 409;

void runCallbacks(const DeferredCallbacks &callbacks)
{
    for (const auto &callback : callbacks) {
        callback();
    }
}

CoordinationError refusalError(const HttpResponse &response)
{
    return {CoordinationCode::StoreUnavailable,
            fmt::format("the platform answered with HTTP status {}", response.status)};
}

HttpRequest post(const char *path, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(body);
    return request;
}

/** Returns the path of an object. The key is a single path segment, so its slashes are percent-encoded. */
std::string objectPath(const std::string &key)
{
    std::string path = "/objects/";
    for (const char c : key) {
        if (c == '/') {
            path += "%2F";
        } else {
            path += c;
        }
    }
    return path;
}

/** Decodes the response to a read and calls @p done with the message or the error. */
template<typename Message, typename Done>
void finishRead(const std::optional<HttpResponse> &response, const CoordinationError &error, const Done &done)
{
    if (!response) {
        done(std::nullopt, error);
        return;
    }
    if (response->status != Ok) {
        done(std::nullopt, refusalError(*response));
        return;
    }
    ProtocolError fault;
    std::optional<Message> message = decodeMessage<Message>(response->body, fault);
    done(std::move(message),
         fault.code == ProtocolCode::None ? CoordinationError()
                                          : CoordinationError{CoordinationCode::StoreUnavailable,
                                                              "the platform's answer is invalid: " + fault.reason});
}

/** Decodes the response to a transaction; sets @p error when it returns no value. */
std::optional<TableTransactionResult> decodeCommit(const HttpResponse &response, CoordinationError &error)
{
    if (response.status != Ok && response.status != Conflict) {
        error = refusalError(response);
        return std::nullopt;
    }
    ProtocolError fault;
    std::optional<TableTransactionResult> result = decodeMessage<TableTransactionResult>(response.body, fault);
    if (!result || result->committed != (response.status == Ok)) {
        error = {CoordinationCode::OutcomeUnknown, "the platform's answer is invalid: " + fault.reason};
        return std::nullopt;
    }
    return result;
}

} // namespace

StoreEngine::StoreEngine(
    Settings settings, Clock clock, RandomUnit random, StoreSender sender, std::function<void()> wake)
    : m_settings(settings)
    , m_clock(std::move(clock))
    , m_sender(std::move(sender))
    , m_wake(std::move(wake))
    , m_gatherer(settings.gatherTime)
    , m_caller(
          settings.calls,
          std::move(random),
          [this](const std::shared_ptr<StoreCall> &call, MonotonicTime tryDeadline) { sendTry(call, tryDeadline); },
          m_clock.now())
{
}

void StoreEngine::setLiveInstances(int instances)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_caller.setLiveInstances(instances, m_clock.now());
}

void StoreEngine::stop()
{
    DeferredCallbacks callbacks;
    std::vector<CommitPart> parts;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopped = true;
        m_caller.stop(callbacks);
        parts = m_gatherer.takeAll();
    }
    runCallbacks(callbacks);
    for (const CommitPart &part : parts) {
        part.done(std::nullopt, {CoordinationCode::StoreUnavailable, "the store client has been stopped"});
    }
}

std::size_t StoreEngine::triesInFlight() const
{
    return m_triesInFlight.load();
}

MonotonicTime StoreEngine::poll()
{
    DeferredCallbacks callbacks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const MonotonicTime now = m_clock.now();
        while (std::optional<CommitGroup> group = m_gatherer.takeDue(now)) {
            sendGroup(std::move(*group), now, callbacks);
        }
        m_caller.poll(now, callbacks);
    }
    runCallbacks(callbacks);
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::min(m_gatherer.nextDue(), m_caller.nextDue());
}

void StoreEngine::commit(TableTransaction transaction, MonotonicTime deadline, CommitDone done)
{
    const std::size_t writes = transaction.puts.size() + transaction.deletes.size();
    CoordinationError refusal;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopped) {
            refusal = {CoordinationCode::StoreUnavailable, "the store client has been stopped"};
        } else if (writes > MaximumTransactionWrites || m_gatherer.size() >= m_settings.maximumWaitingCommits) {
            refusal
                = {CoordinationCode::OverBudget,
                   fmt::format("the transaction has too many writes ({}), or too many commits are waiting", writes)};
        } else {
            m_gatherer.add({std::move(transaction), deadline, done}, m_clock.now());
        }
    }
    if (refusal.code != CoordinationCode::None) {
        done(std::nullopt, refusal);
        return;
    }
    m_wake();
}

void StoreEngine::sendGroup(CommitGroup group, MonotonicTime now, DeferredCallbacks &callbacks)
{
    auto call = std::make_shared<StoreCall>();
    call->request = post("/table/txn", encodeMessage(group.joined()));
    call->budget = StoreBudget::Write;
    call->deadline = group.deadline();
    const auto parts = std::make_shared<std::vector<CommitPart>>(std::move(group.parts));
    call->done = [this, parts](const std::optional<HttpResponse> &response, const CoordinationError &error) {
        finishGroup(parts, response, error);
    };
    m_caller.add(std::move(call), now, callbacks);
}

void StoreEngine::finishGroup(const GroupParts &parts,
                              const std::optional<HttpResponse> &response,
                              const CoordinationError &error)
{
    CoordinationError reason = error;
    const std::optional<TableTransactionResult> result
        = response ? decodeCommit(*response, reason) : std::optional<TableTransactionResult>();
    if (!result && response && reason.code == CoordinationCode::StoreUnavailable && parts->size() > 1) {
        // The platform rejected the joined transaction; a single invalid part may be the cause, so each is sent alone.
        resubmit(std::move(*parts), true);
        return;
    }
    if (!result || result->committed || parts->size() == 1) {
        for (const CommitPart &part : *parts) {
            part.done(result, reason);
        }
        return;
    }
    ConflictSplit split = splitConflicts(std::move(*parts), result->conflicts);
    for (const ConflictSplit::Refused &refusal : split.refused) {
        refusal.part.done(refusal.result, {});
    }
    resubmit(std::move(split.unaffected), split.refused.empty());
}

void StoreEngine::resubmit(std::vector<CommitPart> parts, bool separately)
{
    DeferredCallbacks callbacks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const MonotonicTime now = m_clock.now();
        CommitGroup group;
        for (CommitPart &part : parts) {
            group.add(std::move(part));
            if (separately) {
                sendGroup(std::exchange(group, {}), now, callbacks);
            }
        }
        if (!group.parts.empty()) {
            sendGroup(std::move(group), now, callbacks);
        }
    }
    runCallbacks(callbacks);
}

void StoreEngine::read(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done)
{
    readRows("/table/read", encodeMessage(TableRead{std::move(keys)}), deadline, std::move(done));
}

void StoreEngine::scan(TableScan scan, MonotonicTime deadline, RowsDone done)
{
    readRows("/table/scan", encodeMessage(scan), deadline, std::move(done));
}

void StoreEngine::readRows(const char *path, std::string body, MonotonicTime deadline, RowsDone done)
{
    startCall(post(path, std::move(body)),
              StoreBudget::Read,
              deadline,
              [done = std::move(done)](const std::optional<HttpResponse> &response, const CoordinationError &error) {
                  finishRead<TableRows>(response, error, done);
              });
}

void StoreEngine::putObject(std::string key, std::string content, MonotonicTime deadline, WriteDone done)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = objectPath(key);
    request.headers["Content-Type"] = "application/octet-stream";
    request.body = std::move(content);
    startCall(std::move(request),
              StoreBudget::None,
              deadline,
              [done = std::move(done)](const std::optional<HttpResponse> &response, const CoordinationError &error) {
                  if (response && response->status >= FirstRedirect) {
                      done(false, refusalError(*response));
                      return;
                  }
                  done(response.has_value(), error);
              });
}

void StoreEngine::getObject(std::string key, MonotonicTime deadline, ObjectDone done)
{
    HttpRequest request;
    request.path = objectPath(key);
    startCall(std::move(request),
              StoreBudget::None,
              deadline,
              [done = std::move(done)](const std::optional<HttpResponse> &response, const CoordinationError &error) {
                  if (!response) {
                      done(std::nullopt, error);
                  } else if (response->status == Ok) {
                      done(response->body, {});
                  } else {
                      done(std::nullopt, response->status == NotFound ? CoordinationError() : refusalError(*response));
                  }
              });
}

void StoreEngine::listVms(MonotonicTime deadline, VmsDone done)
{
    HttpRequest request;
    request.path = "/vms";
    startCall(std::move(request),
              StoreBudget::None,
              deadline,
              [done = std::move(done)](const std::optional<HttpResponse> &response, const CoordinationError &error) {
                  finishRead<VmList>(response, error, done);
              });
}

StoreState StoreEngine::state() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_caller.state();
}

void StoreEngine::startCall(HttpRequest request, StoreBudget budget, MonotonicTime deadline, StoreAnswer done)
{
    auto call = std::make_shared<StoreCall>();
    call->request = std::move(request);
    call->budget = budget;
    call->deadline = deadline;
    call->done = std::move(done);
    DeferredCallbacks callbacks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_caller.add(std::move(call), m_clock.now(), callbacks);
    }
    runCallbacks(callbacks);
    m_wake();
}

void StoreEngine::sendTry(const std::shared_ptr<StoreCall> &call, MonotonicTime tryDeadline)
{
    const MonotonicTime sentAt = m_clock.now();
    ++m_triesInFlight;
    m_sender(call->request,
             tryDeadline,
             [this, call, sentAt](const std::optional<HttpResponse> &response, const TransportError &error) {
                 DeferredCallbacks callbacks;
                 {
                     const std::lock_guard<std::mutex> lock(m_mutex);
                     m_caller.finishTry(call, sentAt, response, error, m_clock.now(), callbacks);
                 }
                 runCallbacks(callbacks);
                 m_wake();
                 // The engine may be destroyed after this.
                 --m_triesInFlight;
             });
}

} // namespace coriander
