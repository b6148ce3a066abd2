#include "corianderscale/Transport/PeerSession.h"

#include "corianderscale/Support/HybridClock.h"
#include "corianderscale/Transport/PeerMessage.h"

#include <fmt/format.h>

#include <cassert>
#include <cstring>
#include <map>
#include <utility>
#include <vector>

namespace coriander {

namespace {

/** Header with the sender's hybrid time, so that the timeline lists causes before their effects. */
constexpr const char *TimeHeader = "coriander-time";
constexpr const char *PathPrefix = "/peer/";
constexpr const char *HelloPath = "/peer/hello";
constexpr const char *ProvePath = "/peer/prove";
constexpr const char *InstanceHeader = "peer-instance";
constexpr const char *NonceHeader = "peer-nonce";
constexpr const char *ProofHeader = "peer-proof";
constexpr const char *StatusOk = "200";
constexpr const char *StatusForbidden = "403";

/** Limit on concurrent requests from one peer. */
constexpr std::uint32_t MaximumConcurrentStreams = 128;

/** HTTP/2 window of each stream and of the connection; lets a snapshot of several MB pass in few round trips. */
constexpr std::int32_t WindowBytes = 1024 * 1024;

/** Limit on the names and values of the header fields of one message; the handshake needs about 300 bytes. */
constexpr std::size_t MaximumHeaderBytes = 4096;

/** Limit on the bodies that one connection buffers, received or unsent, as a multiple of the message limit. */
constexpr std::size_t MaximumBufferedMessages = 2;

} // namespace

class PeerSession::Implementation
{
public:
    Implementation(Settings settings, PeerHandler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
    {
        createSession();
        const nghttp2_settings_entry entries[] = {
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaximumConcurrentStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(WindowBytes)},
            {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, MaximumHeaderBytes},
        };
        nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries, std::size(entries));
        nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, WindowBytes);
        if (m_settings.side == PeerSide::Client) {
            m_challenge.client = m_settings.instance;
            m_challenge.clientNonce = makePeerNonce();
            submitRequest(HelloPath,
                          {{InstanceHeader, m_settings.instance.value()}, {NonceHeader, m_challenge.clientNonce}},
                          {},
                          {});
        }
    }

    ~Implementation()
    {
        for (auto &[id, stream] : m_streams) {
            stream.finish(std::nullopt, {TransportCode::Broken, "the connection to the peer ended"});
        }
        nghttp2_session_del(m_session);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    bool receive(std::string_view bytes)
    {
        const ssize_t taken
            = nghttp2_session_mem_recv(m_session, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
        if (taken < 0) {
            fail(TransportCode::Broken,
                 std::string("invalid HTTP/2 input: ") + nghttp2_strerror(static_cast<int>(taken)));
        }
        return isAlive();
    }

    bool produceOutput(std::string &out, std::size_t targetBytes)
    {
        while (out.size() < targetBytes) {
            const std::uint8_t *data = nullptr;
            const ssize_t length = nghttp2_session_mem_send(m_session, &data);
            if (length < 0) {
                fail(TransportCode::Broken, nghttp2_strerror(static_cast<int>(length)));
            }
            if (length <= 0) {
                break;
            }
            out.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
        }
        return isAlive();
    }

    bool authenticated() const
    {
        return m_authenticated;
    }

    const TransportError &failure() const
    {
        return m_failure;
    }

    std::size_t openStreams() const
    {
        return m_streams.size();
    }

    std::int32_t request(const std::string &message, std::string body, PeerReply done)
    {
        assert(m_authenticated && m_settings.side == PeerSide::Client
               && "messages may be sent only after the handshake");
        return submitRequest(PathPrefix + message, {}, std::move(body), std::move(done));
    }

    void cancel(std::int32_t stream)
    {
        if (m_streams.erase(stream) > 0) {
            nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        }
    }

private:
    static Implementation &self(void *user)
    {
        return *static_cast<Implementation *>(user);
    }

    void createSession()
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onClose);
        const int result = m_settings.side == PeerSide::Client
            ? nghttp2_session_client_new(&m_session, callbacks, this)
            : nghttp2_session_server_new(&m_session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        assert(result == 0 && "the HTTP/2 library is out of memory");
        static_cast<void>(result);
    }

    bool isAlive() const
    {
        return m_failure.code == TransportCode::None
            && (nghttp2_session_want_read(m_session) != 0 || nghttp2_session_want_write(m_session) != 0);
    }

    void fail(TransportCode code, std::string reason)
    {
        if (m_failure.code == TransportCode::None) {
            m_failure = {code, std::move(reason)};
        }
    }

    nghttp2_data_provider provider()
    {
        nghttp2_data_provider data{};
        data.source.ptr = this;
        data.read_callback = readBody;
        return data;
    }

    std::int32_t submitRequest(const std::string &path, const PeerHeaders &extra, std::string body, PeerReply done)
    {
        PeerHeaders headers{{":method", "POST"}, {":scheme", "http"}, {":path", path}, {":authority", "peer"}};
        headers.emplace_back(TimeHeader, processClock().tick().toText());
        headers.insert(headers.end(), extra.begin(), extra.end());
        const std::vector<nghttp2_nv> list = headerFields(headers);
        const nghttp2_data_provider data = provider();
        const std::int32_t id = nghttp2_submit_request(
            m_session, nullptr, list.data(), list.size(), body.empty() ? nullptr : &data, nullptr);
        if (id < 0) {
            fail(TransportCode::Broken, "the connection has no streams left");
            return -1;
        }
        PeerMessage &stream = m_streams[id];
        stream.headers[":path"] = path;
        stream.toSend = std::move(body);
        stream.done = std::move(done);
        return id;
    }

    void respond(std::int32_t id, const char *status, const PeerHeaders &extra, std::string body)
    {
        PeerHeaders headers{{":status", status}};
        headers.emplace_back(TimeHeader, processClock().tick().toText());
        headers.insert(headers.end(), extra.begin(), extra.end());
        const std::vector<nghttp2_nv> list = headerFields(headers);
        PeerMessage &stream = m_streams[id];
        stream.toSend = std::move(body);
        const nghttp2_data_provider data = provider();
        nghttp2_submit_response(m_session, id, list.data(), list.size(), stream.toSend.empty() ? nullptr : &data);
    }

    std::size_t bufferedBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &[id, stream] : m_streams) {
            bytes += stream.bufferedBytes();
        }
        return bytes;
    }

    void handleRequest(std::int32_t id, PeerMessage &stream)
    {
        const std::string path = stream.header(":path");
        if (path == HelloPath && m_challenge.serverNonce.empty()) {
            answerHello(id, stream);
        } else if (path == ProvePath && !m_challenge.serverNonce.empty() && !m_authenticated) {
            answerProof(id, stream);
        } else if (!m_authenticated || path.rfind(PathPrefix, 0) != 0 || path == HelloPath || path == ProvePath) {
            reject(id, "the peer sent a message that is not allowed in this handshake state");
        } else {
            observeTime(stream);
            const std::string body = std::exchange(stream.received, {});
            std::string reply = m_handler(path.substr(std::strlen(PathPrefix)), m_challenge.client, body);
            if (reply.size() > m_settings.maximumMessageBytes || bufferedBytes() > maximumBufferedBytes()) {
                nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
                return;
            }
            respond(id, StatusOk, {}, std::move(reply));
        }
    }

    /** Advances the process clock to the peer's hybrid time. Must be called only for authenticated peers. */
    static void observeTime(const PeerMessage &stream)
    {
        if (const auto time = parseHybridTime(stream.header(TimeHeader))) {
            processClock().observe(*time);
        }
    }

    void answerHello(std::int32_t id, const PeerMessage &stream)
    {
        m_challenge.client = InstanceId(stream.header(InstanceHeader));
        m_challenge.clientNonce = stream.header(NonceHeader);
        if (m_challenge.client.empty() || !isValidPeerNonce(m_challenge.clientNonce)) {
            reject(id, "the peer's hello has no instance id or no valid nonce");
            return;
        }
        m_challenge.server = m_settings.instance;
        m_challenge.serverNonce = makePeerNonce();
        respond(id,
                StatusOk,
                {{InstanceHeader, m_settings.instance.value()},
                 {NonceHeader, m_challenge.serverNonce},
                 {ProofHeader, computePeerProof(m_settings.key, PeerSide::Server, m_challenge)}},
                {});
    }

    void answerProof(std::int32_t id, const PeerMessage &stream)
    {
        if (!equalInConstantTime(stream.header(ProofHeader),
                                 computePeerProof(m_settings.key, PeerSide::Client, m_challenge))) {
            reject(id, "the peer did not prove that it holds the key");
            return;
        }
        m_authenticated = true;
        respond(id, StatusOk, {}, {});
    }

    void reject(std::int32_t id, const char *reason)
    {
        respond(id, StatusForbidden, {}, {});
        fail(TransportCode::Unauthenticated, reason);
    }

    void handleReply(PeerMessage &stream)
    {
        const std::string status = stream.header(":status");
        const std::string path = stream.header(":path");
        if (path == HelloPath) {
            verifyServer(stream, status);
        } else if (path == ProvePath) {
            m_authenticated = status == StatusOk;
            if (!m_authenticated) {
                fail(TransportCode::Unauthenticated,
                     "the peer rejected the shared key; compare peer_key on both sides");
            }
        } else if (status == StatusOk) {
            observeTime(stream);
            stream.finish(std::move(stream.received), {});
        } else {
            stream.finish(std::nullopt, {TransportCode::Broken, "the peer answered with status " + status});
        }
    }

    void verifyServer(const PeerMessage &stream, const std::string &status)
    {
        m_challenge.server = InstanceId(stream.header(InstanceHeader));
        m_challenge.serverNonce = stream.header(NonceHeader);
        const bool proved = status == StatusOk && isValidPeerNonce(m_challenge.serverNonce)
            && equalInConstantTime(stream.header(ProofHeader),
                                   computePeerProof(m_settings.key, PeerSide::Server, m_challenge));
        if (!proved) {
            fail(TransportCode::Unauthenticated, "the peer did not prove that it holds the key");
            return;
        }
        submitRequest(
            ProvePath, {{ProofHeader, computePeerProof(m_settings.key, PeerSide::Client, m_challenge)}}, {}, {});
    }

    std::size_t maximumBufferedBytes() const
    {
        return m_settings.maximumMessageBytes * MaximumBufferedMessages;
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            self(user).m_streams[frame->hd.stream_id] = {};
        }
        return 0;
    }

    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *user)
    {
        const auto found = self(user).m_streams.find(frame->hd.stream_id);
        if (found == self(user).m_streams.end()) {
            return 0;
        }
        PeerMessage &stream = found->second;
        stream.headerBytes += nameLength + valueLength;
        if (stream.headerBytes > MaximumHeaderBytes) {
            self(user).fail(TransportCode::LimitExceeded, "the peer's header fields are too large");
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        stream.headers[std::string(reinterpret_cast<const char *>(name), nameLength)]
            = std::string(reinterpret_cast<const char *>(value), valueLength);
        return 0;
    }

    static int onData(nghttp2_session *session,
                      std::uint8_t,
                      std::int32_t id,
                      const std::uint8_t *data,
                      std::size_t length,
                      void *user)
    {
        Implementation &state = self(user);
        const auto found = state.m_streams.find(id);
        if (found == state.m_streams.end() || found->second.isTooLarge) {
            return 0;
        }
        if (!state.m_authenticated) {
            state.fail(TransportCode::Unauthenticated, "the peer sent data before it was authenticated");
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        PeerMessage &stream = found->second;
        if (stream.received.size() + length > state.m_settings.maximumMessageBytes
            || state.bufferedBytes() + length > state.maximumBufferedBytes()) {
            stream.isTooLarge = true;
            stream.received.clear();
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
            return 0;
        }
        stream.received.append(reinterpret_cast<const char *>(data), length);
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        Implementation &state = self(user);
        const bool message = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        const auto found = state.m_streams.find(frame->hd.stream_id);
        if (!message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0 || found == state.m_streams.end()) {
            return 0;
        }
        PeerMessage &stream = found->second;
        if (stream.complete || stream.isTooLarge || state.m_failure.code != TransportCode::None) {
            return 0;
        }
        stream.complete = true;
        if (state.m_settings.side == PeerSide::Server) {
            state.handleRequest(frame->hd.stream_id, stream);
        } else {
            state.handleReply(stream);
        }
        return 0;
    }

    static int onClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user)
    {
        Implementation &state = self(user);
        const auto found = state.m_streams.find(id);
        if (found == state.m_streams.end()) {
            return 0;
        }
        PeerMessage stream = std::move(found->second);
        state.m_streams.erase(found);
        const bool limitExceeded = stream.isTooLarge || code == NGHTTP2_ENHANCE_YOUR_CALM;
        stream.finish(std::nullopt,
                      {limitExceeded ? TransportCode::LimitExceeded : TransportCode::Broken,
                       limitExceeded ? "the message or its reply exceeds the size limit of a peer"
                                     : "the peer reset the stream"});
        return 0;
    }

    static ssize_t readBody(nghttp2_session *,
                            std::int32_t id,
                            std::uint8_t *buffer,
                            std::size_t length,
                            std::uint32_t *flags,
                            nghttp2_data_source *source,
                            void *)
    {
        Implementation &state = self(source->ptr);
        const auto found = state.m_streams.find(id);
        if (found == state.m_streams.end()) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        bool last = false;
        const std::size_t part = found->second.copyBody(buffer, length, last);
        if (last) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(part);
    }

    Settings m_settings;
    PeerHandler m_handler;
    nghttp2_session *m_session = nullptr;
    PeerChallenge m_challenge;
    bool m_authenticated = false;
    TransportError m_failure;
    std::map<std::int32_t, PeerMessage> m_streams;
};

PeerSession::PeerSession(Settings settings, PeerHandler handler)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(handler)))
{
}

PeerSession::~PeerSession() = default;

bool PeerSession::receive(std::string_view bytes)
{
    return m_implementation->receive(bytes);
}

bool PeerSession::produceOutput(std::string &out, std::size_t targetBytes)
{
    return m_implementation->produceOutput(out, targetBytes);
}

bool PeerSession::authenticated() const
{
    return m_implementation->authenticated();
}

const TransportError &PeerSession::failure() const
{
    return m_implementation->failure();
}

std::size_t PeerSession::openStreams() const
{
    return m_implementation->openStreams();
}

std::int32_t PeerSession::request(const std::string &message, std::string body, PeerReply done)
{
    return m_implementation->request(message, std::move(body), std::move(done));
}

void PeerSession::cancel(std::int32_t stream)
{
    m_implementation->cancel(stream);
}

} // namespace coriander
