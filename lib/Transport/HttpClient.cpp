#include "corianderscale/Transport/HttpClient.h"

#include "corianderscale/Transport/DutyThread.h"

#include <cpprest/http_client.h>
#include <cpprest/uri_builder.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>

namespace coriander {

namespace {

namespace client = web::http::client;

/** Upper limit on the timeout of cpprestsdk itself; HttpClient enforces the deadlines of requests. */
constexpr auto LibraryTimeout = std::chrono::seconds(600);

/** Longest wait of the deadline thread before it checks the pending requests again. */
constexpr Duration MaximumDeadlineWait = std::chrono::milliseconds(200);

/** Percent-encodes a path, but keeps `%2F`, which callers use for a slash inside a path segment. */
std::string encodePath(const std::string &path)
{
    const std::string doublyEncodedSlash = "%252F";
    std::string encoded = web::uri::encode_uri(path, web::uri::components::path);
    for (std::size_t at = encoded.find(doublyEncodedSlash); at != std::string::npos;
         at = encoded.find(doublyEncodedSlash, at)) {
        encoded.replace(at, doublyEncodedSlash.size(), "%2F");
    }
    return encoded;
}

web::http::http_request convertRequest(const HttpRequest &request)
{
    web::http::http_request message(request.method);
    web::uri_builder uri;
    uri.set_path(encodePath(request.path), false);
    for (const auto &[key, value] : request.query) {
        uri.append_query(web::uri::encode_data_string(key) + "=" + web::uri::encode_data_string(value), false);
    }
    message.set_request_uri(uri.to_uri());
    for (const auto &[name, value] : request.headers) {
        message.headers().add(name, value);
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        message.set_body(std::vector<unsigned char>(request.body.begin(), request.body.end()));
        const std::string type = request.header("Content-Type");
        message.headers().set_content_type(type.empty() ? "application/json" : type);
    }
    return message;
}

HttpResponse convertResponse(const web::http::http_response &message, const std::vector<unsigned char> &body)
{
    HttpResponse response;
    response.status = message.status_code();
    for (const auto &[name, value] : message.headers()) {
        response.headers[name] = value;
    }
    response.body.assign(body.begin(), body.end());
    return response;
}

TransportError convertError(const web::http::http_exception &exception, const std::string &address)
{
    const std::string reason = address + ": " + exception.what();
    // cpprestsdk reports host_unreachable only while connecting, before anything is sent.
    if (exception.error_code() == std::errc::host_unreachable) {
        return {TransportCode::Unreachable, reason};
    }
    if (exception.error_code() == std::errc::timed_out) {
        return {TransportCode::Timeout, reason};
    }
    return {TransportCode::Broken, reason};
}

/** A request in progress; completed by its response or by its deadline, whichever comes first. */
struct Call {
    HttpCompletion done;
    std::string address;
    pplx::cancellation_token_source cancellation;
    std::atomic<bool> completed = false;

    void complete(std::optional<HttpResponse> response, const TransportError &error)
    {
        if (!completed.exchange(true)) {
            done(std::move(response), error);
        }
    }
};

} // namespace

class HttpClient::Implementation
{
public:
    explicit Implementation(Clock clock)
        : m_clock(std::move(clock))
        , m_deadlineThread("http-deadlines", [this] { expireCalls(); })
    {
    }

    void send(const std::string &address, const HttpRequest &request, MonotonicTime deadline, HttpCompletion done)
    {
        const auto call = std::make_shared<Call>();
        call->done = std::move(done);
        call->address = address;
        if (deadline <= m_clock.now()) {
            call->complete(std::nullopt, {TransportCode::Timeout, address + ": the deadline passed before sending"});
            return;
        }
        addDeadline(call, deadline);
        try {
            clientFor(address)
                ->request(convertRequest(request), call->cancellation.get_token())
                .then([call](const web::http::http_response &message) {
                    return message.extract_vector().then(
                        [message](const std::vector<unsigned char> &body) { return convertResponse(message, body); });
                })
                .then([call](const pplx::task<HttpResponse> &task) { finish(call, task); });
        } catch (const std::exception &exception) {
            call->complete(std::nullopt, {TransportCode::Unreachable, address + ": " + exception.what()});
        }
    }

private:
    static void finish(const std::shared_ptr<Call> &call, const pplx::task<HttpResponse> &task)
    {
        try {
            call->complete(task.get(), {});
        } catch (const web::http::http_exception &exception) {
            call->complete(std::nullopt, convertError(exception, call->address));
        } catch (const std::exception &exception) {
            call->complete(std::nullopt, {TransportCode::Broken, call->address + ": " + exception.what()});
        }
    }

    std::shared_ptr<client::http_client> clientFor(const std::string &address)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::shared_ptr<client::http_client> &entry = m_clients[address];
        if (!entry) {
            client::http_client_config config;
            config.set_timeout(LibraryTimeout);
            entry = std::make_shared<client::http_client>(web::uri(address), config);
        }
        return entry;
    }

    void addDeadline(const std::shared_ptr<Call> &call, MonotonicTime deadline)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_pending.emplace(deadline, call);
        m_wake.notify_one();
    }

    void expireCalls()
    {
        std::vector<std::shared_ptr<Call>> expired;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            Duration wait = MaximumDeadlineWait;
            if (!m_pending.empty()) {
                wait = std::min(wait, std::max(Duration(0), m_pending.begin()->first - m_clock.now()));
            }
            m_wake.wait_for(lock, wait);
            const MonotonicTime now = m_clock.now();
            while (!m_pending.empty() && m_pending.begin()->first <= now) {
                if (const auto call = m_pending.begin()->second.lock()) {
                    expired.push_back(call);
                }
                m_pending.erase(m_pending.begin());
            }
        }
        for (const auto &call : expired) {
            call->complete(std::nullopt, {TransportCode::Timeout, call->address + ": no response before the deadline"});
            call->cancellation.cancel();
        }
    }

    Clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, std::shared_ptr<client::http_client>> m_clients;
    std::multimap<MonotonicTime, std::weak_ptr<Call>> m_pending;
    DutyThread m_deadlineThread;
};

HttpClient::HttpClient(Clock clock)
    : m_implementation(std::make_shared<Implementation>(std::move(clock)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const std::string &address,
                      const HttpRequest &request,
                      MonotonicTime deadline,
                      HttpCompletion done)
{
    m_implementation->send(address, request, deadline, std::move(done));
}

std::optional<HttpResponse> HttpClient::call(const std::string &address,
                                             const HttpRequest &request,
                                             MonotonicTime deadline,
                                             TransportError &error)
{
    const auto result = std::make_shared<std::promise<std::pair<std::optional<HttpResponse>, TransportError>>>();
    auto future = result->get_future();
    send(address, request, deadline, [result](std::optional<HttpResponse> response, const TransportError &reason) {
        result->set_value({std::move(response), reason});
    });
    auto [response, reason] = future.get();
    error = reason;
    return response;
}

} // namespace coriander
