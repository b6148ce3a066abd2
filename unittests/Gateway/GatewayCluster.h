#pragma once

#include "corianderscale/Coordination/RetryBudget.h"
#include "corianderscale/Gateway/GatewayCore.h"
#include "corianderscale/Standin/EndpointModel.h"
#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/ManualClock.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Coordination/FakeStore.h"

namespace coriander {

/** Fault of one message to an endpoint. */
enum class EndpointFault {
    None,
    Unreachable,
    /** The request is lost; the gateway gets a timeout. */
    RequestLost,
    /** The request takes effect, but its answer is lost. */
    AnswerLost,
    /** The last byte of the answer body is missing. */
    Truncated,
    /** The answer names another attempt. */
    WrongAttempt,
};

/** Gateways, endpoints and a store in one process; the test advances the clock and runs the posted tasks. */
class GatewayCluster
{
public:
    struct Node {
        GatewayCluster *cluster = nullptr;
        InstanceId id;
        bool alive = true;
        RetryBudget retryBudget{RetryBudget::Settings()};
        std::unique_ptr<GatewayCore> core;
        std::int64_t copiesSent = 0;
    };
    struct Endpoint {
        std::unique_ptr<EndpointModel> model;
        bool up = true;
        std::map<AttemptId, HttpCompletion> waiting;
    };
    /** Records the responses to one call of a caller. */
    struct CallRecord {
        int responseCount = 0;
        HttpResponse response;
        ErrorBody error;
        int startsAtResponse = 0;
    };

    GatewayCluster()
        : store(clock.clock())
        , document(std::make_shared<Document>())
    {
        document->timeZone = "Europe/Rome";
        document->services.push_back({ServiceName("find"), true, 2000, 2000, 1024});
        document->services.push_back({ServiceName("confirm"), false, 2000, 2000, 1024});
        OrganisationSpec organisation;
        organisation.id = OrganisationId("diocese");
        organisation.callers.push_back({CallerId("desk"), sha256Hex("desk-token")});
        organisation.callers.push_back({CallerId("clerk"), sha256Hex("clerk-token")});
        document->organisations.push_back(organisation);
        DataCentreSpec dataCentre;
        dataCentre.id = DataCentreId("palermo");
        dataCentre.racks.push_back({RackId("r1"), 2, {MilliCores(32000), MemoryMib(65536), Accelerators(8)}});
        document->dataCentres.push_back(dataCentre);
    }

    void addEndpoint(const std::string &id, std::int64_t slots = 4)
    {
        endpoints[id].model = std::make_unique<EndpointModel>(settingsOf(id, slots));
        VmEntry entry;
        entry.id = id;
        entry.role = "endpoint";
        entry.dataCentre = DataCentreId("palermo");
        entry.address = id;
        vms.vms.push_back(entry);
    }

    /** Restarts the endpoint: a new incarnation without any attempts. */
    void restartEndpoint(const std::string &id)
    {
        Endpoint &endpoint = endpoints.at(id);
        endpoint.model = std::make_unique<EndpointModel>(settingsOf(id, 4));
        auto waiting = std::exchange(endpoint.waiting, {});
        for (auto &[attempt, done] : waiting) {
            done(std::nullopt, {TransportCode::Broken, "restarted"});
        }
    }

    Node &addGateway(const std::string &id)
    {
        auto node = std::make_unique<Node>();
        node->cluster = this;
        node->id = InstanceId(id);
        GatewaySettings settings;
        settings.common.instance = node->id;
        settings.common.dataCentre = DataCentreId("palermo");
        settings.queue = {20, 10};
        Node *raw = node.get();
        node->core = std::make_unique<GatewayCore>(
            settings,
            hooksOf(raw),
            store,
            [raw](const auto &address, const auto &message, std::string body, MonotonicTime, auto done) {
                raw->cluster->sendPeer(raw, address, message, body, done);
            },
            RetryBudgetHooks{[raw] { raw->retryBudget.recordSend(); },
                             [raw] {
                                 return raw->retryBudget.tryTakeRetry();
                             }},
            [](const CallerKey &) { return std::optional<ErrorBody>(); });
        nodes.push_back(std::move(node));
        raw->core->setDocument(document);
        shareMembers();
        raw->core->setVms(vms);
        return *raw;
    }

    /** Kills the gateway: none of its tasks and timers run any more. */
    void kill(Node &node)
    {
        node.alive = false;
    }

    void shareMembers()
    {
        std::vector<Member> members;
        for (const auto &node : nodes) {
            Member member;
            member.instance = node->id;
            member.peerAddress = node->id.value();
            member.state = node->alive ? MemberState::Alive : MemberState::Dead;
            members.push_back(member);
        }
        for (const auto &node : nodes) {
            if (node->alive) {
                node->core->setMembers(members);
            }
        }
    }

    std::shared_ptr<CallRecord> post(Node &node,
                                     const std::string &service,
                                     const std::string &key,
                                     const std::string &body,
                                     const std::string &token = "desk-token")
    {
        HttpRequest request;
        request.method = "POST";
        request.headers["Authorization"] = "Bearer " + token;
        if (!key.empty()) {
            request.headers["Request-Key"] = key;
        }
        request.body = body;
        const auto call = std::make_shared<CallRecord>();
        node.core->api().postRequest(request, service, respondTo(call));
        return call;
    }

    std::shared_ptr<CallRecord> get(Node &node, const std::string &key, const std::string &token = "desk-token")
    {
        HttpRequest request;
        request.headers["Authorization"] = "Bearer " + token;
        const auto call = std::make_shared<CallRecord>();
        node.core->api().getRequest(request, key, respondTo(call));
        return call;
    }

    HttpRespond respondTo(const std::shared_ptr<CallRecord> &call)
    {
        return [this, call](HttpResponse response) {
            ++call->responseCount;
            call->startsAtResponse = starts;
            call->response = std::move(response);
            ProtocolError error;
            if (const auto body = decodeMessage<ErrorBody>(call->response.body, error)) {
                call->error = *body;
            }
        };
    }

    /** Removes and runs the posted task with index @p choice modulo their number; returns false when there is none. */
    bool runTask(std::size_t choice)
    {
        if (tasks.empty()) {
            return false;
        }
        const auto place = tasks.begin() + static_cast<std::ptrdiff_t>(choice % tasks.size());
        const auto [node, task] = *place;
        tasks.erase(place);
        if (node->alive) {
            task();
        }
        return true;
    }

    /** Advances the clock by @p step in steps of @p resolution; runs due timers, ticks and posted tasks after each
     * step. */
    void advance(Duration step, Duration resolution = std::chrono::milliseconds(10))
    {
        for (Duration passed{}; passed < step; passed += resolution) {
            clock.advance(resolution);
            finishAttempts();
            for (auto &[node, timer] : timers) {
                if (node->alive) {
                    timer.run(clock.clock().now());
                }
            }
            for (const auto &node : nodes) {
                if (node->alive) {
                    node->core->tick();
                }
            }
            drainTasks();
        }
    }

    void drainTasks()
    {
        while (runTask(0)) { }
    }

    ManualClock clock;
    FakeStore store;
    std::shared_ptr<Document> document;
    VmList vms;
    std::map<std::string, Endpoint> endpoints;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<Node *, TimerQueue> timers;
    std::vector<std::pair<Node *, std::function<void()>>> tasks;
    std::function<EndpointFault(const HttpRequest &)> endpointFaults;
    bool peersDisconnected = false;
    /** Number of attempts that were started at all endpoints. */
    int starts = 0;

private:
    EndpointModelSettings settingsOf(const std::string &id, std::int64_t slots)
    {
        EndpointModelSettings settings;
        settings.id = EndpointId(id);
        settings.incarnation = InstanceId(id + "-" + std::to_string(++m_incarnations));
        settings.dataCentre = DataCentreId("palermo");
        settings.services = {ServiceName("find"), ServiceName("confirm")};
        settings.slots = slots;
        settings.workTime = std::chrono::milliseconds(20);
        return settings;
    }

    GatewayHooks hooksOf(Node *node)
    {
        GatewayHooks hooks;
        hooks.clock = clock.clock();
        hooks.post = [this, node](std::function<void()> task) {
            tasks.emplace_back(node, std::move(task));
        };
        hooks.at = [this, node](MonotonicTime due, std::function<void()> task) {
            timers[node].add(due, std::move(task));
        };
        hooks.send
            = [this](const std::string &address, const HttpRequest &request, MonotonicTime, HttpCompletion done) {
                  sendToEndpoint(address, request, std::move(done));
              };
        hooks.randomHex = [this](std::size_t) {
            return "r" + std::to_string(++m_random);
        };
        hooks.random = [this] {
            return ++m_random * 2654435761U;
        };
        return hooks;
    }

    void sendPeer(Node *from,
                  const std::string &address,
                  const std::string &message,
                  const std::string &body,
                  const std::function<void(std::optional<std::string>)> &done)
    {
        for (const auto &node : nodes) {
            if (node->id.value() == address && node->alive && !peersDisconnected) {
                from->copiesSent += message == CounterCopyMessage ? 1 : 0;
                node->core->peers().handle(message, body);
                done(GatewayPeers::replyTo(message, body));
                return;
            }
        }
        done(std::nullopt);
    }

    void sendToEndpoint(const std::string &address, const HttpRequest &request, HttpCompletion done)
    {
        Endpoint &endpoint = endpoints.at(address);
        const EndpointFault fault = endpointFaults ? endpointFaults(request) : EndpointFault::None;
        if (!endpoint.up || fault == EndpointFault::Unreachable) {
            done(std::nullopt, {TransportCode::Unreachable, "no connection"});
            return;
        }
        if (fault == EndpointFault::RequestLost) {
            done(std::nullopt, {TransportCode::Timeout, "no answer"});
            return;
        }
        answerAt(endpoint, request, withFault(fault, std::move(done)));
    }

    static HttpCompletion withFault(EndpointFault fault, HttpCompletion done)
    {
        if (fault == EndpointFault::None) {
            return done;
        }
        return [fault, done = std::move(done)](std::optional<HttpResponse> response, const TransportError &error) {
            if (fault == EndpointFault::AnswerLost) {
                done(std::nullopt, {TransportCode::Broken, "connection lost"});
                return;
            }
            if (response && fault == EndpointFault::Truncated && !response->body.empty()) {
                response->body.pop_back();
            }
            if (response && fault == EndpointFault::WrongAttempt && !response->header(AttemptIdHeader).empty()) {
                response->headers[AttemptIdHeader] = "other-attempt";
            }
            done(response, error);
        };
    }

    void answerAt(Endpoint &endpoint, const HttpRequest &request, HttpCompletion done)
    {
        if (request.path == "/v1/endpoint") {
            done(jsonResponse(200, encodeMessage(endpoint.model->info(0))), {});
            return;
        }
        const std::string attempts = "/v1/attempts/";
        if (request.path.compare(0, attempts.size(), attempts) == 0) {
            const std::string id = request.path.substr(attempts.size(), request.path.rfind('/') - attempts.size());
            done(jsonResponse(200, encodeMessage(endpoint.model->fence(AttemptId(id)))), {});
            return;
        }
        EndpointRunRequest run;
        run.attempt = AttemptId(request.header(AttemptIdHeader));
        run.service = ServiceName(request.path.substr(std::string("/v1/run/").size()));
        run.startByUnixMs = std::stoll(request.header(StartByHeader));
        run.body = request.body;
        const Clock now = clock.clock();
        if (const auto refusal = endpoint.model->run(run, now.now(), now.wallNow())) {
            done(jsonResponse(refusal->code == "slot-full" ? 429 : 503, encodeMessage(*refusal)), {});
            return;
        }
        ++starts;
        endpoint.waiting[run.attempt] = std::move(done);
    }

    void finishAttempts()
    {
        for (auto &[id, endpoint] : endpoints) {
            for (const FinishedAttempt &finished : endpoint.model->finish(clock.clock().now())) {
                HttpResponse response = jsonResponse(200, finished.answer);
                response.headers[AttemptIdHeader] = finished.attempt.value();
                response.headers[ContentDigestHeader] = contentDigest(finished.answer);
                const auto waiting = endpoint.waiting.extract(finished.attempt);
                if (!waiting.empty()) {
                    waiting.mapped()(response, {});
                }
            }
        }
    }

    int m_incarnations = 0;
    std::uint64_t m_random = 0;
};

} // namespace coriander
