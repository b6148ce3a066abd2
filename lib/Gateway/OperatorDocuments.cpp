#include "corianderscale/Gateway/OperatorAccess.h"
#include "corianderscale/Gateway/OperatorApi.h"
#include "corianderscale/Gateway/OperatorReplies.h"
#include "corianderscale/State/TextDiff.h"
#include "corianderscale/Support/Digest.h"
#include "corianderscale/Support/Log.h"

namespace coriander {

namespace {

constexpr Duration StoreTimeout = std::chrono::seconds(5);
/** An accepted document is in force on all instances within this time (promise P8). */
constexpr std::int64_t InForceDelayMs = 5000;
constexpr char Trial[] = "trial";
constexpr char Production[] = "production";

/** The fields of the bodies of check, diff, apply and promote. */
struct DocumentCall {
    std::string text;
    std::string environment;
    std::string digest;
    /** The version that the change is based on; no value for the current version. */
    std::optional<DocumentVersion> base;
};

std::optional<DocumentCall> parseDocumentCall(const HttpRequest &request, bool withText, HttpResponse &refusal)
{
    ProtocolError error;
    const std::optional<Json> json = parseJson(request.body, MaximumMessageBytes, error);
    if (!json) {
        refusal = operatorInvalid(error.reason);
        return std::nullopt;
    }
    JsonReader reader(*json, {}, error);
    DocumentCall call;
    if (withText) {
        call.text = reader.requiredText("document", MaximumDocumentBytes);
    } else {
        call.digest = reader.requiredText("digest");
    }
    call.environment = reader.text("environment", Trial);
    if (call.environment != Trial && call.environment != Production) {
        reader.fault("environment", "expected trial or production");
    }
    if (reader.has("baseVersion")) {
        call.base = reader.requiredQuantity<DocumentVersion>("baseVersion");
    }
    reader.rejectUnknownFields();
    if (reader.failed()) {
        refusal = operatorInvalid(error.reason);
        return std::nullopt;
    }
    return call;
}

Json faultsToJson(const std::vector<YamlFault> &faults)
{
    Json list = Json::array();
    for (const YamlFault &fault : faults) {
        list.push_back({{"line", fault.line},
                        {"column", fault.column},
                        {"key", fault.key},
                        {"expected", fault.expected},
                        {"text", fault.toString()}});
    }
    return list;
}

HttpResponse invalidDocument(const std::vector<YamlFault> &faults)
{
    Json body = ErrorBody{"invalid", Outcome::Rejected, "the document is invalid; see faults", 0}.toJson();
    body["faults"] = faultsToJson(faults);
    return jsonResponse(422, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Json headToJson(const DocumentHead &head)
{
    return {{"version", head.version.count()},
            {"digest", head.digest},
            {"operator", head.operatorName},
            {"acceptedUnixMs", head.acceptedUnixMs}};
}

std::string environmentParameter(const HttpRequest &request, const std::string &fallback)
{
    const std::string value = request.parameter("environment");
    return value.empty() ? fallback : value;
}

bool isKnownEnvironment(const std::string &environment)
{
    return environment == Trial || environment == Production;
}

} // namespace

OperatorApi::OperatorApi(OperatorHooks hooks)
    : m_hooks(std::move(hooks))
    , m_documents(*m_hooks.store, m_hooks.clock)
    , m_totals(*m_hooks.store, m_hooks.clock, m_hooks.instances)
{
}

MonotonicTime OperatorApi::deadline(Duration wait) const
{
    return m_hooks.clock.now() + wait;
}

std::optional<OperatorApi::Target> OperatorApi::readTarget(const std::string &environment, HttpResponse &refusal)
{
    StateError error;
    std::optional<AcceptedDocument> accepted = m_documents.read(environment, deadline(StoreTimeout), error);
    if (!accepted) {
        refusal = operatorError(error);
        return std::nullopt;
    }
    Target target{std::move(*accepted), std::nullopt};
    if (target.accepted.head.version > DocumentVersion(0)) {
        std::vector<YamlFault> faults;
        target.document = parseDocument(target.accepted.text, environment, faults);
        if (!target.document) {
            refusal = invalidDocument(faults);
            return std::nullopt;
        }
    }
    return target;
}

std::optional<std::string> OperatorApi::authenticateReader(const HttpRequest &request, HttpResponse &refusal)
{
    if (const std::optional<DocumentInForce> present = m_hooks.document()) {
        std::optional<std::string> name = findOperator(request, *present->document);
        if (!name) {
            refusal = operatorUnauthenticated();
        }
        return name;
    }
    const std::optional<Target> target = readTarget(m_hooks.environment, refusal);
    return target ? authenticateWriter(request, *target, refusal) : std::nullopt;
}

std::optional<std::string> OperatorApi::authenticateWriter(const HttpRequest &request,
                                                           const Target &target,
                                                           HttpResponse &refusal) const
{
    std::optional<std::string> name;
    if (target.document) {
        name = findOperator(request, *target.document);
    } else if (carriesToken(request, m_hooks.bootstrapDigest)) {
        name = BootstrapOperator;
    }
    if (!name) {
        refusal = operatorUnauthenticated();
    }
    return name;
}

HttpResponse OperatorApi::check(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto call = authenticateReader(request, refusal) ? parseDocumentCall(request, true, refusal) : std::nullopt;
    if (!call) {
        return refusal;
    }
    std::vector<YamlFault> faults;
    parseDocument(call->text, "document", faults);
    return operatorJson(
        {{"valid", faults.empty()}, {"digest", sha256Hex(call->text)}, {"faults", faultsToJson(faults)}});
}

HttpResponse OperatorApi::diff(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto call = authenticateReader(request, refusal) ? parseDocumentCall(request, true, refusal) : std::nullopt;
    if (!call) {
        return refusal;
    }
    StateError error;
    const auto present = m_documents.read(call->environment, deadline(StoreTimeout), error);
    if (!present) {
        return operatorError(error);
    }
    Json lines = Json::array();
    for (const DiffLine &line : diffLines(present->text, call->text)) {
        lines.push_back({{"mark", std::string(1, line.mark)}, {"line", line.line}, {"text", line.text}});
    }
    return operatorJson({{"environment", call->environment},
                         {"version", present->head.version.count()},
                         {"digest", present->head.digest},
                         {"newDigest", sha256Hex(call->text)},
                         {"lines", std::move(lines)}});
}

HttpResponse OperatorApi::accept(const std::string &environment,
                                 const std::string &text,
                                 DocumentVersion base,
                                 const std::string &operatorName)
{
    AcceptFailure failure;
    const auto head = m_documents.accept(environment, text, base, operatorName, deadline(StoreTimeout), failure);
    if (!head) {
        HttpResponse response = operatorError(failure.error);
        if (failure.error.code == StateCode::Conflict) {
            Json body = Json::parse(response.body);
            body["winner"] = headToJson(failure.acceptedHead);
            response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        }
        return response;
    }
    logEvent(LogLevel::Info,
             "document-accepted",
             {{"environment", environment},
              {"version", head->version},
              {"digest", head->digest},
              {"operator", head->operatorName}});
    if (m_hooks.accepted) {
        m_hooks.accepted(environment, {*head, text});
    }
    Json json = headToJson(*head);
    json["environment"] = environment;
    return operatorJson(json);
}

HttpResponse OperatorApi::apply(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto target = readTarget(Trial, refusal);
    const auto name = target ? authenticateWriter(request, *target, refusal) : std::nullopt;
    const auto call = name ? parseDocumentCall(request, true, refusal) : std::nullopt;
    if (!call) {
        return refusal;
    }
    if (call->environment != Trial) {
        return operatorInvalid("a document can be applied to trial only; production gets it by promote");
    }
    std::vector<YamlFault> faults;
    if (!parseDocument(call->text, "document", faults)) {
        return invalidDocument(faults);
    }
    return accept(Trial, call->text, call->base.value_or(target->accepted.head.version), *name);
}

std::optional<HttpResponse> OperatorApi::checkPromotable(const Target &trial, const std::string &digest) const
{
    if (trial.accepted.head.version == DocumentVersion(0) || trial.accepted.head.digest != digest) {
        return operatorError({StateCode::Conflict,
                              trial.accepted.head.version == DocumentVersion(0)
                                  ? "trial has no document; apply one there first"
                                  : "trial has digest " + trial.accepted.head.digest
                                      + "; only the document that trial has can be promoted"});
    }
    const std::int64_t age = toUnixMs(m_hooks.clock.wallNow()) - trial.accepted.head.acceptedUnixMs;
    if (age < InForceDelayMs) {
        return jsonResponse(
            409,
            encodeMessage(ErrorBody{"not-in-force",
                                    Outcome::Rejected,
                                    "the document may not be in force on all instances of trial yet; retry later",
                                    std::min(InForceDelayMs, InForceDelayMs - age)}));
    }
    return std::nullopt;
}

HttpResponse OperatorApi::promote(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto target = readTarget(Production, refusal);
    const auto name = target ? authenticateWriter(request, *target, refusal) : std::nullopt;
    const auto call = name ? parseDocumentCall(request, false, refusal) : std::nullopt;
    const auto trial = call ? readTarget(Trial, refusal) : std::nullopt;
    if (!trial) {
        return refusal;
    }
    if (const auto reason = checkPromotable(*trial, call->digest)) {
        return *reason;
    }
    return accept(Production, trial->accepted.text, call->base.value_or(target->accepted.head.version), *name);
}

std::optional<std::string> OperatorApi::readableEnvironment(const HttpRequest &request, HttpResponse &refusal)
{
    if (!authenticateReader(request, refusal)) {
        return std::nullopt;
    }
    std::string environment = environmentParameter(request, m_hooks.environment);
    if (!isKnownEnvironment(environment)) {
        refusal = operatorInvalid("environment: expected trial or production");
        return std::nullopt;
    }
    return environment;
}

HttpResponse OperatorApi::history(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto environment = readableEnvironment(request, refusal);
    if (!environment) {
        return refusal;
    }
    StateError error;
    const auto heads = m_documents.history(*environment, deadline(StoreTimeout), error);
    if (!heads) {
        return operatorError(error);
    }
    Json versions = Json::array();
    for (const DocumentHead &head : *heads) {
        versions.push_back(headToJson(head));
    }
    return operatorJson({{"environment", *environment}, {"versions", std::move(versions)}});
}

HttpResponse OperatorApi::document(const HttpRequest &request)
{
    HttpResponse refusal;
    const auto environment = readableEnvironment(request, refusal);
    if (!environment) {
        return refusal;
    }
    StateError error;
    const auto accepted = m_documents.read(*environment, deadline(StoreTimeout), error);
    if (!accepted) {
        return operatorError(error);
    }
    Json json = headToJson(accepted->head);
    json["environment"] = *environment;
    json["document"] = accepted->text;
    return operatorJson(json);
}

Json OperatorApi::environmentJson(const std::string &environment)
{
    StateError error;
    const auto accepted = m_documents.read(environment, deadline(StoreTimeout), error);
    if (!accepted) {
        return {{"environment", environment}, {"known", false}, {"reason", error.reason}};
    }
    Json json = headToJson(accepted->head);
    json["environment"] = environment;
    json["known"] = true;
    return json;
}

HttpResponse OperatorApi::status(const HttpRequest &request)
{
    HttpResponse refusal;
    if (!authenticateReader(request, refusal)) {
        return refusal;
    }
    const std::optional<DocumentInForce> present = m_hooks.document();
    Json instances = Json::array();
    for (const InstanceView &view : m_hooks.instances()) {
        instances.push_back({{"instance", view.member.instance.value()},
                             {"role", view.member.role == MemberRole::Gateway ? "gateway" : "scheduler"},
                             {"dataCentre", view.member.dataCentre.value()},
                             {"address", view.member.address},
                             {"version", view.version.count()},
                             {"cutOff", view.cutOff},
                             {"cutOffSinceUnixMs", view.cutOffSinceUnixMs}});
    }
    const StoreState state = m_hooks.store->state();
    return operatorJson({{"answeredBy", m_hooks.instance.value()},
                         {"environment", m_hooks.environment},
                         {"inForce", headToJson(present ? present->head : DocumentHead())},
                         {"table",
                          state == StoreState::Available  ? "available"
                              : state == StoreState::Slow ? "slow"
                                                          : "away"},
                         {"accepted", Json::array({environmentJson(Trial), environmentJson(Production)})},
                         {"instances", std::move(instances)}});
}

} // namespace coriander
